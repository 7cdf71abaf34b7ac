//! Leases on chunks of a job, dispatch, resume and isolation of items that kill workers.
