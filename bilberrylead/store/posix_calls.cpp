#include "bilberrylead/store/posix_calls.hpp"

#include <unistd.h>

namespace bilberrylead::store
{

ssize_t posix_calls::write(int descriptor, std::span<std::uint8_t const> data)
{
    return ::write(descriptor, data.data(), data.size());
}

int posix_calls::sync(int descriptor)
{
    return ::fdatasync(descriptor);
}

} // namespace bilberrylead::store
