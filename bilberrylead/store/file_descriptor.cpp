#include "bilberrylead/store/file_descriptor.hpp"

#include <unistd.h>

#include <utility>

namespace bilberrylead::store
{

file_descriptor::file_descriptor(int open_descriptor)
    : descriptor(open_descriptor)
{
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

file_descriptor::~file_descriptor()
{
    if (this->descriptor >= 0)
    {
        ::close(this->descriptor);
    }
}

int file_descriptor::get() const
{
    return this->descriptor;
}

bool file_descriptor::is_open() const
{
    return this->descriptor >= 0;
}

} // namespace bilberrylead::store
