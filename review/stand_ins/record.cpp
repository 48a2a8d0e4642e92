#include "review/stand_ins/record.hpp"

#include <iomanip>
#include <sstream>

namespace bilberrylead::review
{

record::record(std::string const& path)
    : file(path), began(std::chrono::steady_clock::now())
{
}

double record::now() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         this->began)
        .count();
}

void record::add(std::string const& line)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << std::setw(8) << this->now()
         << " s  " << line << '\n';
    std::lock_guard<std::mutex> const lock(this->mutex);
    this->file << text.str() << std::flush;
}

} // namespace bilberrylead::review
