//! Tests of the disk thread, one file per topic.

mod full_disk;
mod limited_space;
mod writes_on_a_full_disk;
