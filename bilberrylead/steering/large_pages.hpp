#ifndef BILBERRYLEAD_STEERING_LARGE_PAGES_HPP
#define BILBERRYLEAD_STEERING_LARGE_PAGES_HPP

#include <cstddef>

namespace bilberrylead::steering
{

/// Allocates `size` bytes for a large array, on large pages where the system
/// has them. Look-ups access a table at random; with small pages, nearly
/// every access would miss the TLB. `alignment` is a power of two, in bytes,
/// up to a page of 4096 bytes. Throws std::bad_alloc. The caller owns the
/// memory and frees it with release_large.
void* allocate_large(std::size_t size, std::size_t alignment);

/// Frees memory allocated with allocate_large.
void release_large(void* memory);

/// Allocator that makes a std::vector use allocate_large.
template <class Value>
struct large_page_allocator
{
    /// Element type, required of an allocator.
    using value_type = Value;

    large_page_allocator() = default;

    template <class Other>
    // NOLINTNEXTLINE(google-explicit-constructor): required of an allocator.
    large_page_allocator(large_page_allocator<Other> const&)
    {
    }

    /// Allocates memory for `count` values.
    Value* allocate(std::size_t count)
    {
        return static_cast<Value*>(
            allocate_large(count * sizeof(Value), alignof(Value)));
    }

    /// Frees memory that allocate() returned.
    void deallocate(Value* memory, std::size_t)
    {
        release_large(memory);
    }

    friend bool operator==(large_page_allocator const&,
                           large_page_allocator const&)
    {
        return true;
    }
};

} // namespace bilberrylead::steering

#endif
