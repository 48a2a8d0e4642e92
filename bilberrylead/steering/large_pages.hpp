#ifndef BILBERRYLEAD_STEERING_LARGE_PAGES_HPP
#define BILBERRYLEAD_STEERING_LARGE_PAGES_HPP

#include <cstddef>

namespace bilberrylead::steering
{

/// Memory for a large array, on large pages where the system has them.
/// Callers hit a table at random; on small pages nearly every access first
/// misses the processor's list of pages. `alignment` is a power of two, up to
/// a page of 4096 bytes. Throws std::bad_alloc.
void* allocate_large(std::size_t size, std::size_t alignment);

/// Gives back what allocate_large gave.
void release_large(void* memory);

/// Lets a std::vector use allocate_large.
template <class Value>
struct large_page_allocator
{
    /// What std::vector asks for.
    using value_type = Value;

    large_page_allocator() = default;

    template <class Other>
    // NOLINTNEXTLINE(google-explicit-constructor): the standard wants it so.
    large_page_allocator(large_page_allocator<Other> const&)
    {
    }

    /// Memory for so many values.
    Value* allocate(std::size_t count)
    {
        return static_cast<Value*>(
            allocate_large(count * sizeof(Value), alignof(Value)));
    }

    /// Gives it back.
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
