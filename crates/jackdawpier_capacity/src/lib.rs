//! Pure decisions on pools, buffers and maintenance waves.
