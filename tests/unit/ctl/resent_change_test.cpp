#include "bilberrylead/ctl/run_command.hpp"
#include "captured_output.hpp"
#include "fake_control_host.hpp"
#include "tests/unit/config/configuration_text.hpp"

#include <criterion/criterion.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using bilberrylead::ctl::exit_code;
using bilberrylead::ctl::run_command;
using bilberrylead::ctl::tests::captured_output;
using bilberrylead::ctl::tests::change_handling;
using bilberrylead::ctl::tests::fake_control_host;

namespace
{

/// A file with a valid configuration, for as long as the test runs.
struct configuration_file
{
    configuration_file()
        : path(std::filesystem::temp_directory_path() /
               fmt::format("resent-change-{}.jsonc", ::getpid()))
    {
        std::ofstream(this->path) << valid_text;
    }

    ~configuration_file()
    {
        std::filesystem::remove(this->path);
    }

    configuration_file(configuration_file const&) = delete;
    configuration_file& operator=(configuration_file const&) = delete;

    std::filesystem::path path;
};

/// What one call of bilberryctl ended with.
struct call_result
{
    exit_code code = exit_code::done;
    std::string output;
    std::string errors;

    /// The field `outcome` of the result.
    std::string outcome() const
    {
        nlohmann::json const body =
            nlohmann::json::parse(this->output, nullptr, false);
        return body.is_object() ? body.value("outcome", "") : this->output;
    }
};

call_result call(fake_control_host const& host, std::vector<std::string> words,
                 std::vector<std::string> const& options)
{
    words.insert(words.end(), options.begin(), options.end());
    call_result result;
    captured_output output(stdout);
    captured_output errors(stderr);
    result.code = run_command(words, {host.address(), "key"});
    result.output = output.text();
    result.errors = errors.text();
    return result;
}

std::vector<std::string> const json_form = {"--output", "json"};
std::vector<std::string> const chosen_id = {"--output", "json",   "--change-id",
                                            "chosen",   "--base", "0"};

} // namespace

// Guards against a change of this call that is reported as somebody else's:
// its first answer was lost, and its second sending hears that it was accepted
// already.
Test(resent_change, is_accepted_when_its_first_answer_was_lost)
{
    configuration_file const file;
    for (change_handling const loss :
         {change_handling::cut_answer, change_handling::outcome_unknown,
          change_handling::disk_failed})
    {
        for (std::vector<std::string> const& options : {json_form, chosen_id})
        {
            fake_control_host const host({loss});
            call_result const result =
                call(host, {"apply", file.path}, options);
            cr_expect(result.outcome() == "accepted", "%s",
                      result.output.c_str());
            cr_expect(result.code == exit_code::done);
            cr_expect_eq(host.sent_changes(), 2U);
            cr_expect_eq(host.decided().audit_trail().size(), 1U);
        }
    }
}

Test(resent_change, of_a_drain_is_accepted_when_its_first_answer_was_lost)
{
    configuration_file const file;
    fake_control_host const host(
        {change_handling::answer, change_handling::outcome_unknown});
    call(host, {"apply", file.path}, json_form);
    call_result const result = call(host, {"drain", "u1"}, json_form);
    cr_expect(result.outcome() == "accepted", "%s", result.output.c_str());
    cr_expect_eq(host.decided().current_revision(), 2U);
}

// Guards against the opposite: a change that an earlier call submitted counts
// as accepted by this one.
Test(resent_change, of_an_earlier_call_was_already_accepted)
{
    configuration_file const file;
    fake_control_host const host({});
    call_result const first = call(host, {"apply", file.path}, chosen_id);
    cr_expect(first.outcome() == "accepted", "%s", first.output.c_str());
    call_result const second = call(host, {"apply", file.path}, chosen_id);
    cr_expect(second.outcome() == "already_accepted", "%s",
              second.output.c_str());
    cr_expect(second.code == exit_code::done);
}

Test(resent_change, of_an_earlier_call_was_already_accepted_despite_a_loss)
{
    configuration_file const file;
    for (change_handling const loss :
         {change_handling::cut_answer, change_handling::outcome_unknown,
          change_handling::disk_failed})
    {
        fake_control_host const host({change_handling::answer, loss});
        call(host, {"apply", file.path}, chosen_id);
        call_result const second = call(host, {"apply", file.path}, chosen_id);
        cr_expect(second.outcome() == "already_accepted", "%s",
                  second.output.c_str());
    }
}

Test(resent_change, that_was_refused_before_another_sent_it_is_the_others)
{
    configuration_file const file;
    fake_control_host const host(
        {change_handling::refuse_and_accept_from_other});
    call_result const result = call(host, {"apply", file.path}, chosen_id);
    cr_expect(result.outcome() == "already_accepted", "%s",
              result.output.c_str());
}

Test(resent_change, table_tells_an_acceptance_from_an_earlier_one)
{
    configuration_file const file;
    std::vector<std::string> const table = {"--change-id", "chosen", "--base",
                                            "0"};
    fake_control_host const host({change_handling::cut_answer});
    call_result const first = call(host, {"apply", file.path}, table);
    cr_expect(first.output == "Revision 1 is accepted (change chosen).\n", "%s",
              first.output.c_str());
    call_result const second = call(host, {"apply", file.path}, table);
    cr_expect(second.output ==
                  "Revision 1 was accepted already (change chosen).\n",
              "%s", second.output.c_str());
}

// Guards against a call that gives up and does not say that its change may
// have been accepted.
Test(resent_change, whose_outcome_stays_unknown_is_reported_so)
{
    configuration_file const file;
    std::vector<std::string> const options = {
        "--change-id", "chosen", "--base", "0", "--timeout-ms", "1"};
    for (change_handling const loss :
         {change_handling::cut_answer, change_handling::outcome_unknown,
          change_handling::disk_failed})
    {
        std::vector<change_handling> const always(1000, loss);
        fake_control_host const host(always);
        call_result const result = call(host, {"apply", file.path}, options);
        cr_expect(result.code == exit_code::failed);
        cr_expect(result.errors.find("What became of change chosen") !=
                      std::string::npos,
                  "%s", result.errors.c_str());
    }
}
