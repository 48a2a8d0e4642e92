#include "bilberrylead/ctl/view_commands.hpp"

#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/decimal.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/accepted_configuration.hpp"
#include "bilberrylead/ctl/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <thread>

namespace bilberrylead::ctl
{

namespace
{

constexpr std::chrono::milliseconds poll_pause{50};
constexpr unsigned ok_status = 200;
/// Lines that a view shows of what may be thousands of customers.
constexpr std::size_t max_shown_customers = 20;

/// Statuses of all control hosts that answer.
std::vector<nlohmann::json> all_statuses(operator_client& client)
{
    std::vector<nlohmann::json> result;
    for (std::size_t host = 0; host < client.host_count(); ++host)
    {
        absl::StatusOr<operator_answer> const answer =
            client.ask_one(host, "GET", "/v1/status");
        if (!answer.ok())
        {
            continue;
        }
        absl::StatusOr<nlohmann::json> body = body_of(*answer);
        if (body.ok() && answer->status == ok_status)
        {
            result.push_back(std::move(*body));
        }
    }
    return result;
}

/// The newest that any control host heard of each entry host.
std::map<std::string, std::uint64_t>
in_force(std::vector<nlohmann::json> const& statuses)
{
    std::map<std::string, std::uint64_t> result;
    for (nlohmann::json const& status : statuses)
    {
        nlohmann::json const& hosts =
            status.value("entry_hosts", nlohmann::json::object());
        for (nlohmann::json::const_iterator row = hosts.begin();
             row != hosts.end(); ++row)
        {
            std::uint64_t& known = result[row.key()];
            known = std::max(known, row.value().get<std::uint64_t>());
        }
    }
    return result;
}

/// Entry hosts of the accepted configuration.
absl::StatusOr<std::vector<std::string>> expected_hosts(operator_client& client)
{
    absl::StatusOr<accepted_configuration> const accepted =
        fetch_accepted(client);
    if (!accepted.ok())
    {
        return accepted.status();
    }
    absl::StatusOr<config::configuration> const parsed =
        config::parse_configuration(accepted->document,
                                    "the accepted configuration");
    if (!parsed.ok())
    {
        return parsed.status();
    }
    std::vector<std::string> names;
    for (config::entry_host const& host : parsed->entry_hosts)
    {
        names.push_back(host.id.text());
    }
    return names;
}

/// Hosts that are not there yet.
std::vector<std::string>
late_hosts(std::vector<std::string> const& expected,
           std::map<std::string, std::uint64_t> const& known,
           std::uint64_t wanted)
{
    std::vector<std::string> late;
    for (std::string const& name : expected)
    {
        std::map<std::string, std::uint64_t>::const_iterator const found =
            known.find(name);
        if (found == known.end() || found->second < wanted)
        {
            late.push_back(name);
        }
    }
    return late;
}

void print_status(nlohmann::json const& status,
                  std::vector<std::vector<std::string>>& rows)
{
    rows.push_back({status.value("host", ""), status.value("role", ""),
                    std::to_string(status.value("term", std::uint64_t{0})),
                    status.value("leader", ""),
                    std::to_string(status.value("revision", std::uint64_t{0})),
                    std::to_string(status.value("claims", std::uint64_t{0}))});
}

void print_audit(nlohmann::json const& body)
{
    std::vector<std::vector<std::string>> rows = {
        {"AT", "OPERATOR", "CHANGE", "BASE", "RESULT", "REVISION"}};
    for (nlohmann::json const& entry : body.at("entries"))
    {
        nlohmann::json const& result = entry.at("result");
        rows.push_back(
            {entry.value("at", ""), entry.value("operator", ""),
             entry.value("change_id", ""),
             std::to_string(entry.value("base_revision", std::uint64_t{0})),
             result.value("outcome", ""),
             std::to_string(result.value("revision", std::uint64_t{0}))});
    }
    print_table(rows);
}

/// Asks for one answer and shows it: as it is, or as `show` prints it.
template <class Show>
exit_code ask_and_show(command_line const& line, std::string const& target,
                       Show show)
{
    operator_client client(line.client);
    absl::StatusOr<operator_answer> const answer = client.ask("GET", target);
    if (!answer.ok())
    {
        return report(answer.status());
    }
    if (answer->status != ok_status)
    {
        return report_refusal(*answer);
    }
    absl::StatusOr<nlohmann::json> const body = body_of(*answer);
    if (!body.ok())
    {
        return report(body.status());
    }
    if (line.output == output_form::json)
    {
        print_json(*body);
    }
    else
    {
        show(*body);
    }
    return exit_code::done;
}

void print_crashes(nlohmann::json const& body)
{
    std::vector<std::vector<std::string>> rows = {
        {"DIGEST", "VERDICT", "ENDED UNDER IT"}};
    for (nlohmann::json const& request :
         body.value("requests", nlohmann::json::array()))
    {
        rows.push_back(
            {request.value("digest", "?"), request.value("verdict", "?"),
             fmt::format(
                 "{}",
                 fmt::join(request.value("ended", std::vector<std::string>()),
                           " "))});
    }
    print_table(rows);
}

void print_customers(nlohmann::json const& body)
{
    std::vector<std::vector<std::string>> rows = {
        {"CUSTOMER", "LIMIT/S", "BURST", "SAVED", "DEMAND/S", "ARRIVED",
         "REFUSED", "HOSTS"}};
    for (nlohmann::json const& row :
         body.value("customers", nlohmann::json::array()))
    {
        rows.push_back(
            {row.value("name", "?"),
             fmt::format("{:.1f}", row.value("per_second", 0.0)),
             fmt::format("{:.0f}", row.value("burst", 0.0)),
             fmt::format("{:.0f}", row.value("saved", 0.0)),
             fmt::format("{:.1f}", row.value("demand_per_second", 0.0)),
             std::to_string(row.value("arrived", std::uint64_t{0})),
             std::to_string(row.value("refused", std::uint64_t{0})),
             std::to_string(row.value("share_holders", std::uint64_t{0}))});
    }
    print_table(rows);
    std::uint64_t const omitted = body.value("omitted", std::uint64_t{0});
    if (omitted > 0)
    {
        fmt::print("{} more customers use less of their limits.\n", omitted);
    }
}

std::string as_percent(double share)
{
    return fmt::format("{:.1f} %", share * 100);
}

/// Customers of the services shown, those with most refused demand first.
void print_limited_customers(std::vector<nlohmann::json> const& services)
{
    struct limited_customer
    {
        double refused = 0;
        std::vector<std::string> cells;
    };
    std::vector<limited_customer> customers;
    for (nlohmann::json const& service : services)
    {
        for (nlohmann::json const& row :
             service.value("customers", nlohmann::json::array()))
        {
            double const demand = row.value("demand_slots", 0.0);
            double const share = row.value("share", 0.0);
            customers.push_back(
                {demand * (1 - share),
                 {row.value("name", "?"), service.value("name", "?"),
                  std::to_string(row.value("rank", std::uint64_t{0})),
                  fmt::format("{:.1f}", demand), as_percent(share)}});
        }
    }
    if (customers.empty())
    {
        return;
    }
    std::sort(customers.begin(), customers.end(),
              [](limited_customer const& left, limited_customer const& right)
              {
                  return left.refused != right.refused
                             ? left.refused > right.refused
                             : left.cells < right.cells;
              });
    std::vector<std::vector<std::string>> rows = {
        {"CUSTOMER ABOVE ITS FAIR SHARE", "SERVICE", "RANK", "DEMAND",
         "ADMITTED"}};
    for (limited_customer const& each : customers)
    {
        if (rows.size() <= max_shown_customers)
        {
            rows.push_back(each.cells);
        }
    }
    fmt::print("\n");
    print_table(rows);
    if (customers.size() > max_shown_customers)
    {
        fmt::print("{} more customers are above their fair shares.\n",
                   customers.size() - max_shown_customers);
    }
}

void print_admission(nlohmann::json const& body, std::string const& wanted)
{
    std::uint64_t const number = body.value("number", std::uint64_t{0});
    if (!body.value("by_plan", false))
    {
        fmt::print("Admission is not by plan.\n");
        return;
    }
    if (number == 0)
    {
        fmt::print("There is no plan yet: {} of {} entry hosts have reported "
                   "their demand.\n",
                   body.value("reporting_hosts", std::uint64_t{0}),
                   body.value("hosts", std::uint64_t{0}));
        return;
    }
    fmt::print("Plan {} of term {}, {} ms old, from {} of {} entry hosts.\n\n",
               number, body.value("term", std::uint64_t{0}),
               body.value("age_ms", std::int64_t{0}),
               body.value("reporting_hosts", std::uint64_t{0}),
               body.value("hosts", std::uint64_t{0}));
    std::vector<nlohmann::json> shown;
    std::vector<std::vector<std::string>> rows = {
        {"SERVICE", "SLOTS", "RANK", "DEMAND", "ADMITTED"}};
    for (nlohmann::json const& service :
         body.value("services", nlohmann::json::array()))
    {
        std::string const name = service.value("name", "?");
        if (!wanted.empty() && name != wanted)
        {
            continue;
        }
        shown.push_back(service);
        for (nlohmann::json const& row :
             service.value("ranks", nlohmann::json::array()))
        {
            rows.push_back(
                {name, fmt::format("{:.0f}", service.value("slots", 0.0)),
                 std::to_string(row.value("rank", std::uint64_t{0})),
                 fmt::format("{:.1f}", row.value("demand_slots", 0.0)),
                 as_percent(row.value("share", 0.0))});
        }
    }
    print_table(rows);
    print_limited_customers(shown);
}

} // namespace

exit_code run_get(command_line const& line)
{
    // What is no number could otherwise add to the query.
    constexpr std::uint64_t newest = std::numeric_limits<std::uint64_t>::max();
    if (!line.subject.empty() &&
        !config::parse_decimal(line.subject, newest).has_value())
    {
        return report(make_error(error_kind::bad_value,
                                 "A revision is a number.",
                                 "Leave it out for the newest."));
    }
    std::string const target =
        line.subject.empty() ? std::string("/v1/configuration")
                             : "/v1/configuration?revision=" + line.subject;
    return ask_and_show(line, target,
                        [](nlohmann::json const& body)
                        {
                            fmt::print("// Revision {}\n{}\n",
                                       body.value("revision", std::uint64_t{0}),
                                       body.value("document", ""));
                        });
}

exit_code run_status(command_line const& line)
{
    operator_client client(line.client);
    std::vector<nlohmann::json> const statuses = all_statuses(client);
    if (statuses.empty())
    {
        return report(make_error(error_kind::connection,
                                 "No control host answers.",
                                 "Check the addresses and the key."));
    }
    std::map<std::string, std::uint64_t> const hosts = in_force(statuses);
    if (line.output == output_form::json)
    {
        print_json({{"control_hosts", statuses}, {"entry_hosts", hosts}});
        return exit_code::done;
    }
    std::vector<std::vector<std::string>> rows = {
        {"CONTROL HOST", "ROLE", "TERM", "LEADER", "REVISION", "CLAIMS"}};
    for (nlohmann::json const& status : statuses)
    {
        print_status(status, rows);
    }
    print_table(rows);
    rows = {{"ENTRY HOST", "REVISION IN FORCE"}};
    for (std::pair<std::string const, std::uint64_t> const& row : hosts)
    {
        rows.push_back({row.first, std::to_string(row.second)});
    }
    fmt::print("\n");
    print_table(rows);
    return exit_code::done;
}

exit_code run_audit(command_line const& line)
{
    return ask_and_show(line, fmt::format("/v1/audit?most={}", line.most),
                        print_audit);
}

exit_code run_crashes(command_line const& line)
{
    return ask_and_show(line, "/v1/crashes", print_crashes);
}

exit_code run_customers(command_line const& line)
{
    return ask_and_show(line, "/v1/customers", print_customers);
}

exit_code run_admission(command_line const& line)
{
    return ask_and_show(line, "/v1/admission",
                        [&line](nlohmann::json const& body)
                        {
                            print_admission(body, line.subject);
                        });
}

exit_code run_wait(command_line const& line)
{
    std::uint64_t wanted = 0;
    char const* const end = line.subject.data() + line.subject.size();
    std::from_chars_result const read =
        std::from_chars(line.subject.data(), end, wanted);
    if (read.ec != std::errc{} || read.ptr != end)
    {
        return report(make_error(error_kind::bad_value,
                                 "A revision is a number.",
                                 "Take it from what apply printed."));
    }

    operator_client client(line.client);
    instant const deadline =
        std::chrono::steady_clock::now() + line.client.patience;
    std::vector<std::string> late = {"(nobody answered)"};
    while (std::chrono::steady_clock::now() < deadline)
    {
        absl::StatusOr<std::vector<std::string>> const expected =
            expected_hosts(client);
        if (expected.ok())
        {
            late =
                late_hosts(*expected, in_force(all_statuses(client)), wanted);
        }
        if (late.empty())
        {
            fmt::print("Revision {} is in force at all entry hosts.\n", wanted);
            return exit_code::done;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    fmt::print(stderr, "bilberryctl: Revision {} is not in force yet at: {}\n",
               wanted, fmt::join(late, ", "));
    return exit_code::not_yet;
}

} // namespace bilberrylead::ctl
