#include "runtime/allocator.h"

#include <malloc.h>

namespace dragonflymill::runtime {

namespace {

constexpr int large_block_bytes = 131'072;

} // namespace

void return_large_blocks_at_once()
{
    // Setting a threshold also ends its adjustment.
    (void)mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    (void)mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

void return_free_memory()
{
    (void)malloc_trim(0);
}

} // namespace dragonflymill::runtime
