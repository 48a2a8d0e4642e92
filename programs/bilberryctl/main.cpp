#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/ctl/commands.hpp"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace bilberrylead;

namespace
{

constexpr char const* control_variable = "BILBERRY_CONTROL";
constexpr char const* key_variable = "BILBERRY_KEY";

std::string from_environment(char const* name)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

void print_help()
{
    fmt::print("bilberryctl COMMAND [ARGUMENT] [OPTIONS]\n\nCommands:\n");
    for (ctl::command const& known : ctl::all_commands())
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

ctl::command const* find_command(std::string_view name)
{
    for (ctl::command const& known : ctl::all_commands())
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

std::optional<config::endpoint> read_endpoint(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    config::endpoint result;
    result.address = text.substr(0, colon);
    int const port = std::atoi(text.c_str() + colon + 1);
    if (port <= 0 || port > 65535)
    {
        return std::nullopt;
    }
    result.port = static_cast<std::uint16_t>(port);
    return result;
}

/// Reads the options; nothing if they are wrong.
std::optional<ctl::command_line> read_line(std::vector<std::string> arguments)
{
    TCLAP::CmdLine parser("bilberryctl", ' ', "0.1", false);
    TCLAP::MultiArg<std::string> control("", "control", "", false,
                                         "ADDRESS:PORT", parser);
    TCLAP::ValueArg<std::string> key(
        "", "key", "", false, from_environment(key_variable), "KEY", parser);
    TCLAP::ValueArg<std::string> output("", "output", "", false, "table",
                                        "FORM", parser);
    TCLAP::ValueArg<int> timeout("", "timeout-ms", "", false, 10000, "N",
                                 parser);
    TCLAP::ValueArg<std::string> base("", "base", "", false, "", "REVISION",
                                      parser);
    TCLAP::ValueArg<std::string> change("", "change-id", "", false, "", "ID",
                                        parser);
    TCLAP::ValueArg<unsigned> most("", "most", "", false, 20, "N", parser);
    TCLAP::UnlabeledMultiArg<std::string> subjects(
        "subject", "what the command is about", false, "SUBJECT", parser);
    parser.setExceptionHandling(false);
    parser.parse(arguments);

    ctl::command_line line;
    std::vector<std::string> hosts = control.getValue();
    if (hosts.empty())
    {
        hosts = split_hosts(from_environment(control_variable));
    }
    for (std::string const& host : hosts)
    {
        std::optional<config::endpoint> const where = read_endpoint(host);
        if (!where.has_value())
        {
            fmt::print(stderr,
                       "bilberryctl: '{}' is no address. Write it as "
                       "192.0.2.1:8400.\n",
                       host);
            return std::nullopt;
        }
        line.client.control_hosts.push_back(*where);
    }
    if (output.getValue() != "table" && output.getValue() != "json")
    {
        fmt::print(stderr, "bilberryctl: --output is table or json.\n");
        return std::nullopt;
    }
    line.client.key = key.getValue();
    line.client.patience = std::chrono::milliseconds(timeout.getValue());
    line.output = output.getValue() == "json" ? ctl::output_form::json
                                              : ctl::output_form::table;
    line.has_base_revision = base.isSet();
    line.base_revision = std::strtoull(base.getValue().c_str(), nullptr, 10);
    line.change_id = change.getValue();
    line.most = most.getValue();
    if (!subjects.getValue().empty())
    {
        line.subject = subjects.getValue().front();
    }
    if (subjects.getValue().size() > 1)
    {
        line.second_subject = subjects.getValue()[1];
    }
    return line;
}

int run(std::string const& name, std::vector<std::string> const& arguments)
{
    ctl::command const* const chosen = find_command(name);
    if (chosen == nullptr)
    {
        fmt::print(stderr,
                   "bilberryctl: There is no command '{}'. See "
                   "bilberryctl --help.\n",
                   name);
        return static_cast<int>(ctl::exit_code::bad_input);
    }
    std::optional<ctl::command_line> const line = read_line(arguments);
    if (!line.has_value())
    {
        return static_cast<int>(ctl::exit_code::bad_input);
    }
    bool const needs_subject =
        !chosen->subject.empty() && !chosen->subject.starts_with('[');
    bool const needs_second =
        needs_subject && chosen->subject.find(' ') != std::string_view::npos;
    if ((needs_subject && line->subject.empty()) ||
        (needs_second && line->second_subject.empty()))
    {
        fmt::print(stderr, "bilberryctl: {} needs {}.\n", chosen->name,
                   chosen->subject);
        return static_cast<int>(ctl::exit_code::bad_input);
    }
    return static_cast<int>(chosen->run(*line));
}

} // namespace

int main(int count, char const** values)
{
    std::string const name = count > 1 ? values[1] : "--help";
    if (name == "--help" || name == "help" || name == "-h")
    {
        print_help();
        return 0;
    }
    std::vector<std::string> arguments = {"bilberryctl"};
    arguments.insert(arguments.end(), values + 2, values + count);
    try
    {
        return run(name, arguments);
    }
    catch (TCLAP::ArgException const& wrong)
    {
        fmt::print(stderr, "bilberryctl: {} {}. See bilberryctl --help.\n",
                   wrong.argId(), wrong.error());
        return static_cast<int>(ctl::exit_code::bad_input);
    }
}
