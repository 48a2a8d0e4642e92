#include "review/stand_ins_2/record.hpp"

#include <array>
#include <cstdio>

namespace bilberrylead::review
{

record::record(std::string const& path) : file(path, std::ios::trunc)
{
}

void record::line(std::string const& text)
{
    std::lock_guard const hold(this->mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", this->seconds());
    this->file << time.data() << text << '\n' << std::flush;
}

double record::seconds() const
{
    return std::chrono::duration<double>(clock::now() - this->started).count();
}

} // namespace bilberrylead::review
