#pragma once

namespace dragonflymill::runtime {

/// Makes the C library's allocator return large blocks to the system as soon as they are freed. By default it
/// raises the size from which it does so to that of the largest block freed so far, and keeps what is below.
/// Must be called before other threads start.
void return_large_blocks_at_once();

/// Returns memory that is free but kept by the allocator to the system. Takes some milliseconds if much is.
void return_free_memory();

} // namespace dragonflymill::runtime
