//! Which target serves a request: locality, prefix affinity, link budget, placement.
