#include "bilberrylead/ctl/run_command.hpp"

#include "bilberrylead/config/decimal.hpp"
#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/commands.hpp"
#include "bilberrylead/ctl/report.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <limits>
#include <optional>
#include <sstream>
#include <string_view>

namespace bilberrylead::ctl
{

namespace
{

/// A day; more would not fit the clock's arithmetic for ever.
constexpr std::uint64_t longest_timeout_ms = 86'400'000;
constexpr std::uint64_t most_rows = 1'000;
constexpr std::uint64_t any_number = std::numeric_limits<std::uint64_t>::max();

void print_help()
{
    fmt::print("bilberryctl COMMAND [ARGUMENT] [OPTIONS]\n\nCommands:\n");
    for (command const& known : all_commands())
    {
        fmt::print("  {:<14} {:<22} {}\n", known.name, known.subject,
                   known.help);
    }
    fmt::print(
        "\nOptions:\n"
        "  --control ADDRESS:PORT  operator address of a control host; give\n"
        "                          several, or BILBERRY_CONTROL=A:P,B:P\n"
        "  --key KEY               operator's key, or BILBERRY_KEY\n"
        "  --output table|json     form of the result\n"
        "  --timeout-ms N          how long to go on asking (10000)\n"
        "  --base REVISION         base of an apply; the newest otherwise\n"
        "  --change-id ID          id of an apply; give it again to resend\n"
        "  --most N                rows of an audit (20)\n"
        "\nExit codes: 0 done, 1 no control host could do it now (asking\n"
        "again is safe), 2 wrong input, 3 conflict, 4 not in force yet.\n");
}

command const* find_command(std::string_view name)
{
    for (command const& known : all_commands())
    {
        if (known.name == name)
        {
            return &known;
        }
    }
    return nullptr;
}

std::vector<std::string> split_hosts(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    return parts;
}

absl::Status wrong(std::string_view what, std::string_view remedy)
{
    return make_error(error_kind::bad_value, what, remedy);
}

/// Reads a number option; garbage after or before the digits is an error, as
/// is what lies outside the range.
absl::StatusOr<std::uint64_t> read_number(std::string_view option,
                                          std::string const& text,
                                          std::uint64_t least,
                                          std::uint64_t most)
{
    std::optional<std::uint64_t> const value =
        config::parse_decimal(text, most);
    if (value.value_or(0) < least || !value.has_value())
    {
        return wrong(
            fmt::format("{} '{}' is no number in its range.", option, text),
            fmt::format("Give a whole number from {} to {}.", least, most));
    }
    return *value;
}

absl::Status read_hosts(std::vector<std::string> const& hosts,
                        command_line& line)
{
    for (std::string const& host : hosts)
    {
        std::optional<config::endpoint> const where =
            config::parse_endpoint(host);
        if (!where.has_value())
        {
            return wrong(fmt::format("'{}' is no address.", host),
                         "Write it as 192.0.2.1:8400 or [2001:db8::1]:8400.");
        }
        line.client.control_hosts.push_back(*where);
    }
    return absl::OkStatus();
}

/// What the options say, as text.
struct option_texts
{
    std::string timeout = "10000";
    std::string base;
    bool has_base = false;
    std::string most = "20";
    std::string output = "table";
};

absl::Status read_options(option_texts const& texts, command_line& line)
{
    absl::StatusOr<std::uint64_t> const timeout =
        read_number("--timeout-ms", texts.timeout, 1, longest_timeout_ms);
    absl::StatusOr<std::uint64_t> const base =
        texts.has_base ? read_number("--base", texts.base, 0, any_number) : 0;
    absl::StatusOr<std::uint64_t> const most =
        read_number("--most", texts.most, 1, most_rows);
    for (absl::StatusOr<std::uint64_t> const* const each :
         {&timeout, &base, &most})
    {
        if (!each->ok())
        {
            return each->status();
        }
    }
    if (texts.output != "table" && texts.output != "json")
    {
        return wrong(fmt::format("--output '{}' is no form.", texts.output),
                     "It is table or json.");
    }
    line.client.patience = std::chrono::milliseconds(*timeout);
    line.has_base_revision = texts.has_base;
    line.base_revision = *base;
    line.most = *most;
    line.output =
        texts.output == "json" ? output_form::json : output_form::table;
    return absl::OkStatus();
}

/// How many arguments a command needs and takes.
absl::Status read_subjects(command const& chosen,
                           std::vector<std::string> const& given,
                           command_line& line)
{
    std::size_t const most =
        chosen.subject.empty()
            ? 0
            : 1 + static_cast<std::size_t>(std::count(
                      chosen.subject.begin(), chosen.subject.end(), ' '));
    std::size_t const least = chosen.subject.starts_with('[') ? 0 : most;
    bool const blank =
        std::find(given.begin(), given.end(), std::string()) != given.end();
    if (given.size() < least || blank)
    {
        return wrong(fmt::format("{} needs {}.", chosen.name, chosen.subject),
                     "See bilberryctl --help.");
    }
    if (given.size() > most)
    {
        return wrong(fmt::format("{} takes no '{}'.", chosen.name, given[most]),
                     "See bilberryctl --help.");
    }
    line.subject = most > 0 && !given.empty() ? given[0] : "";
    line.second_subject = given.size() > 1 ? given[1] : "";
    return absl::OkStatus();
}

/// Reads arguments and options. TCLAP throws on those it doesn't know.
absl::StatusOr<command_line> read_line(command const& chosen,
                                       std::vector<std::string> words,
                                       environment_defaults const& defaults)
{
    using text_option = TCLAP::ValueArg<std::string>;
    option_texts texts;
    TCLAP::CmdLine parser("bilberryctl", ' ', "0.1", false);
    TCLAP::MultiArg<std::string> control("", "control", "", false,
                                         "ADDRESS:PORT", parser);
    text_option key("", "key", "", false, defaults.key, "KEY", parser);
    text_option output("", "output", "", false, texts.output, "FORM", parser);
    text_option timeout("", "timeout-ms", "", false, texts.timeout, "N",
                        parser);
    text_option base("", "base", "", false, "", "REVISION", parser);
    text_option change("", "change-id", "", false, "", "ID", parser);
    text_option most("", "most", "", false, texts.most, "N", parser);
    TCLAP::UnlabeledMultiArg<std::string> subjects(
        "subject", "what the command is about", false, "SUBJECT", parser);
    parser.setExceptionHandling(false);
    parser.parse(words);

    command_line line;
    line.client.key = key.getValue();
    line.change_id = change.getValue();
    texts = {timeout.getValue(), base.getValue(), base.isSet(), most.getValue(),
             output.getValue()};
    absl::Status status = read_options(texts, line);
    if (status.ok())
    {
        status = read_hosts(control.isSet() ? control.getValue()
                                            : split_hosts(defaults.control),
                            line);
    }
    if (status.ok())
    {
        status = read_subjects(chosen, subjects.getValue(), line);
    }
    if (status.ok() && line.client.control_hosts.empty() &&
        chosen.name != "check")
    {
        status = wrong("No control host is named.",
                       "Give --control ADDRESS:PORT or BILBERRY_CONTROL.");
    }
    if (!status.ok())
    {
        return status;
    }
    return line;
}

} // namespace

exit_code run_command(std::vector<std::string> const& words,
                      environment_defaults const& defaults)
{
    std::string const name = words.empty() ? "--help" : words.front();
    if (name == "--help" || name == "help" || name == "-h")
    {
        print_help();
        return exit_code::done;
    }
    command const* const chosen = find_command(name);
    if (chosen == nullptr)
    {
        return report(wrong(fmt::format("There is no command '{}'.", name),
                            "See bilberryctl --help."));
    }

    // TCLAP takes the first word for the program's name.
    try
    {
        absl::StatusOr<command_line> const line =
            read_line(*chosen, words, defaults);
        return line.ok() ? chosen->run(*line) : report(line.status());
    }
    catch (TCLAP::ArgException const& unknown)
    {
        return report(
            wrong(fmt::format("{} {}.", unknown.argId(), unknown.error()),
                  "See bilberryctl --help."));
    }
}

} // namespace bilberrylead::ctl
