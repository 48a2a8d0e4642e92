#include "bilberrylead/ctl/run_command.hpp"

#include <cstdlib>
#include <string>
#include <vector>

using namespace bilberrylead;

namespace
{

std::string from_environment(char const* name)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace

int main(int count, char const** values)
{
    std::vector<std::string> const words(values + (count > 0 ? 1 : 0),
                                         values + count);
    return static_cast<int>(
        ctl::run_command(words, {from_environment("BILBERRY_CONTROL"),
                                 from_environment("BILBERRY_KEY")}));
}
