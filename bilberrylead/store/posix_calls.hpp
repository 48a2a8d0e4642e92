#ifndef BILBERRYLEAD_STORE_POSIX_CALLS_HPP
#define BILBERRYLEAD_STORE_POSIX_CALLS_HPP

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <span>

namespace bilberrylead::store
{

/// The system calls that can fail while the journal is written. They are a
/// template parameter of durable_file, so that tests can inject failures.
struct posix_calls
{
    /// write(2): bytes written or -1 with errno set.
    static ssize_t write(int descriptor, std::span<std::uint8_t const> data);
    /// fdatasync(2): 0 or -1 with errno set.
    static int sync(int descriptor);
};

} // namespace bilberrylead::store

#endif
