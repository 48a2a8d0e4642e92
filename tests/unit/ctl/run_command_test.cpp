#include "bilberrylead/ctl/run_command.hpp"

#include <criterion/criterion.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <string>
#include <vector>

using bilberrylead::ctl::exit_code;
using bilberrylead::ctl::run_command;

namespace
{

/// Nobody listens on port 1, so a line that passes the checks ends with
/// `failed`, and one that is refused never gets as far as asking.
std::vector<std::string> const nobody = {"--control", "127.0.0.1:1",
                                         "--timeout-ms", "1"};

exit_code run(std::vector<std::string> words,
              std::vector<std::string> const& options = nobody)
{
    words.insert(words.end(), options.begin(), options.end());
    return run_command(words, {"", "key"});
}

} // namespace

Test(run_command, wrong_lines_are_bad_input)
{
    for (std::vector<std::string> const& words :
         std::vector<std::vector<std::string>>{
             {"launch"},
             {""},
             {"apply"},
             {"check"},
             {"diff"},
             {"drain"},
             {"drain", ""},
             {"wait"},
             {"wait", "x"},
             {"get", "x"},
             {"get", "1&stale"},
             {"explain"},
             {"explain", "lyrics", "10.0.0"},
             {"explain", "lyrics"},
             {"explain", "a", "10.0.0.1", "b"},
             {"status", "c1"},
             {"drain", "u1", "u2"},
             {"status", "--colour"},
             {"status", "--output"},
             {"status", "--output", "yaml"},
             {"status", "--output", ""},
             {"status", "--base", ""},
             {"status", "--base", "x"},
             {"status", "--base", "1x"},
             {"status", "--base", "-1"},
             {"status", "--base", " 1"},
             {"status", "--base", "18446744073709551616"},
             {"audit", "--most", "0"},
             {"audit", "--most", "-1"},
             {"audit", "--most", "2x"}})
    {
        cr_expect(run(words) == exit_code::bad_input, "%s",
                  fmt::format("{}", fmt::join(words, " ")).c_str());
    }
}

Test(run_command, wrong_addresses_and_timeouts_are_bad_input)
{
    for (std::string const address :
         {"", "127.0.0.1", "127.0.0.1:", ":8400", "127.0.0.1:0",
          "127.0.0.1:65536", "127.0.0.1:84x", "127.0.0.1:x", "127.0.0.1:-1",
          "127.0.0:8400", "::1:8400", "[::1]"})
    {
        cr_expect(run({"status"}, {"--control", address}) ==
                      exit_code::bad_input,
                  "%s", address.c_str());
        cr_expect(run_command({"status"}, {address + ",127.0.0.1:1", ""}) ==
                      exit_code::bad_input,
                  "%s", address.c_str());
    }
    for (std::string const timeout : {"", "0", "-5", "5s", "99999999999"})
    {
        cr_expect(run({"status"}, {"--control", "127.0.0.1:1", "--timeout-ms",
                                   timeout}) == exit_code::bad_input,
                  "%s", timeout.c_str());
    }
}

Test(run_command, right_lines_get_as_far_as_asking)
{
    cr_expect(run({"status", "--output", "json"}) == exit_code::failed);
    cr_expect(run({"get"}) == exit_code::failed);
    cr_expect(run({"explain", "lyrics", "10.0.0.1"}) == exit_code::failed);
    cr_expect(run({"status", "--base", "18446744073709551615"}) ==
              exit_code::failed);
    cr_expect(run({"help"}) == exit_code::done);
}

Test(run_command, lines_without_control_hosts_are_bad_input)
{
    // Founding no host at all must not look like success.
    for (std::string const name : {"get", "status", "found", "handover"})
    {
        cr_expect(run({name}, {}) == exit_code::bad_input, "%s", name.c_str());
    }
}
