#include "bilberrylead/steering/large_pages.hpp"

#include <sys/mman.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace bilberrylead::steering
{

namespace
{

constexpr std::size_t large_page_bytes = std::size_t{2} << 20U;
constexpr std::size_t cache_line_bytes = 64;

std::size_t round_up(std::size_t size, std::size_t unit)
{
    return (size + unit - 1) / unit * unit;
}

} // namespace

void* allocate_large(std::size_t size, std::size_t alignment)
{
    // For smaller arrays, the cost of rounding up to whole large pages
    // outweighs their benefit.
    bool const is_large = size >= 4 * large_page_bytes;
    std::size_t const unit =
        is_large ? large_page_bytes : std::max(alignment, cache_line_bytes);
    void* const memory = std::aligned_alloc(unit, round_up(size, unit));
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    if (is_large)
    {
        // Failure is ignored: without large pages, access is slower but still
        // correct.
        static_cast<void>(
            ::madvise(memory, round_up(size, unit), MADV_HUGEPAGE));
    }
    return memory;
}

void release_large(void* memory)
{
    std::free(memory);
}

} // namespace bilberrylead::steering
