#include "bilberrylead/store/file_descriptor.hpp"

#include <unistd.h>

#include <utility>

namespace bilberrylead::store
{

file_descriptor::file_descriptor(int open_number) : number(open_number)
{
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : number(std::exchange(other.number, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(this->number, other.number);
    return *this;
}

file_descriptor::~file_descriptor()
{
    if (this->number >= 0)
    {
        ::close(this->number);
    }
}

int file_descriptor::get() const
{
    return this->number;
}

bool file_descriptor::is_open() const
{
    return this->number >= 0;
}

} // namespace bilberrylead::store
