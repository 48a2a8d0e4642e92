#include "captured_output.hpp"

#include <unistd.h>

#include <array>
#include <cstddef>

namespace bilberrylead::ctl::tests
{

captured_output::captured_output(std::FILE* redirected)
    : stream(redirected), file(std::tmpfile()), original(::dup(fileno(stream)))
{
    std::fflush(this->stream);
    ::dup2(fileno(this->file), fileno(this->stream));
}

captured_output::~captured_output()
{
    std::fflush(this->stream);
    ::dup2(this->original, fileno(this->stream));
    ::close(this->original);
    std::fclose(this->file);
}

std::string captured_output::text()
{
    std::fflush(this->stream);
    std::string all;
    std::array<char, 4096> part{};
    ssize_t count = 0;
    while ((count = ::pread(fileno(this->file), part.data(), part.size(),
                            static_cast<off_t>(all.size()))) > 0)
    {
        all.append(part.data(), static_cast<std::size_t>(count));
    }
    return all;
}

} // namespace bilberrylead::ctl::tests
