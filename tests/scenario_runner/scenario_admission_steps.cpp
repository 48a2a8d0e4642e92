#include "scenario_steps.hpp"

#include "http_call.hpp"
#include "wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <ios>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

/// Steps about routes, customers and the admission of their requests.
namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;

/// Host header of the load's callers.
constexpr char const* load_host = "bilberry-load";
/// Target latency and timeout of a declared route.
constexpr std::chrono::milliseconds route_target{500};
constexpr std::chrono::milliseconds route_timeout{2000};
/// Upstreams that one request may be sent to.
constexpr std::uint32_t route_attempts = 2;
/// Age from which entry hosts ignore a plan.
constexpr double ignored_age_ms = 10'000;
constexpr double percent = 100;
constexpr double rounding = 1e-6;

bool compare(double left, std::string const& how, double right)
{
    return (how == "<=" && left <= right + rounding) ||
           (how == ">=" && left >= right - rounding);
}

/// Calls `take` for each whole line of a log from `offset` on; returns where
/// the next line starts.
std::streamoff for_each_line(std::filesystem::path const& path,
                             std::streamoff offset,
                             std::function<void(json const&)> const& take)
{
    std::ifstream file(path);
    file.seekg(offset);
    for (std::string line; std::getline(file, line) && !file.eof();)
    {
        offset += static_cast<std::streamoff>(line.size()) + 1;
        json const fields = json::parse(line, nullptr, false);
        if (fields.is_object())
        {
            take(fields);
        }
    }
    return offset;
}

/// True for the line of a request that was refused for lack of capacity.
bool is_refusal_of(json const& line, std::string const& service)
{
    return line.value("what", "") == "request" &&
           line.value("service", "") == service &&
           line.contains("wait_tolerance");
}

bool has_valid_plan(json const& refusal)
{
    double const age = refusal.value("plan_age_ms", -1.0);
    return age >= 0 && age < ignored_age_ms && refusal.contains("rank_share") &&
           !refusal.value("plan_source", "").empty();
}

/// The row of a list whose field has this value; null if there is none.
template <class Value>
json find_row(json const& list, char const* field, Value const& value)
{
    for (json const& row : list)
    {
        if (row.value(field, Value()) == value)
        {
            return row;
        }
    }
    return {};
}

/// Sum of the samples in a text of metrics that have this name and all of
/// these labels.
double sum_of_samples(std::string const& text, std::string const& name,
                      std::vector<std::string> const& labels)
{
    double sum = 0;
    std::string const start = name + "{";
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        bool const matches =
            line.starts_with(start) &&
            std::all_of(labels.begin(), labels.end(),
                        [&line](std::string const& label)
                        {
                            return line.find(label) != std::string::npos;
                        });
        if (matches)
        {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

/// Attempts of a load that were refused, in 100 of all its attempts.
double refused_in_100(json const& report)
{
    double all = 0;
    for (json const& count : report.at("attempts"))
    {
        all += count.get<double>();
    }
    return all == 0
               ? 0
               : percent * report.at("attempts").value("not_run", 0.0) / all;
}

} // namespace

// settings control|entry JSON: fields of the settings of all these hosts
void scenario_steps::settings(scenario_line const& line)
{
    this->world.add_settings(line.word(1) == "control", line.rest(2));
}

// upstream-list: the control hosts read a list of the upstreams
void scenario_steps::upstream_list(scenario_line const&)
{
    this->world.serve_upstream_list();
}

// route SERVICE PREFIX priority N: declares a route, or changes its priority
void scenario_steps::route(scenario_line const& line)
{
    std::vector<config::request_route>& routes =
        this->world.declared().request_routes;
    auto found = std::find_if(routes.begin(), routes.end(),
                              [&line](config::request_route const& each)
                              {
                                  return each.path_prefix == line.word(2);
                              });
    if (found == routes.end())
    {
        config::request_route added;
        added.host = load_host;
        added.path_prefix = line.word(2);
        added.idempotent = true;
        added.targets = {{service_id(line.word(1)), 1}};
        added.timeout = route_timeout;
        added.aim = route_target;
        added.most_attempts = route_attempts;
        found = routes.insert(routes.end(), added);
    }
    found->priority = line.count_after("priority").value_or(0);
}

// customer NAME [key KEY] [priority N]: declares a customer, or changes its
// priority
void scenario_steps::customer(scenario_line const& line)
{
    std::vector<config::customer>& customers = this->world.declared().customers;
    auto found = std::find_if(customers.begin(), customers.end(),
                              [&line](config::customer const& each)
                              {
                                  return each.id.text() == line.word(1);
                              });
    if (found == customers.end())
    {
        config::customer added;
        added.id = customer_id(line.word(1));
        added.keys = {line.after("key")};
        found = customers.insert(customers.end(), added);
    }
    found->priority = line.count_after("priority").value_or(0);
}

json scenario_steps::plan_of(std::string const& service)
{
    this->world.ctl({"admission", service, "--output", "json"});
    json const reply = json::parse(this->world.last_output(), nullptr, false);
    return reply.is_object() ? reply : json::object();
}

// plan SERVICE [rank R share <=|>= PERCENT] [limits CUSTOMER]: waits until
// bilberryctl shows such a plan, made from the demand of all entry hosts
void scenario_steps::plan(scenario_line const& line)
{
    std::string const& service = line.word(1);
    std::optional<std::uint32_t> const rank = line.count_after("rank");
    std::string const customer = line.after("limits");
    json reply;
    bool const shown = wait_until(
        [this, &line, &service, &rank, &customer, &reply]()
        {
            reply = this->plan_of(service);
            json const row = find_row(reply.value("services", json::array()),
                                      "name", service);
            if (!row.is_object() ||
                reply.value("reporting_hosts", std::uint64_t{0}) <
                    this->world.entry_names().size())
            {
                return false;
            }
            json const shares = rank.has_value()
                                    ? find_row(row.at("ranks"), "rank", *rank)
                                    : json::object();
            bool const has_share =
                !rank.has_value() ||
                (shares.is_object() &&
                 compare(percent * shares.at("share").get<double>(),
                         line.after("share"), line.count(6)));
            return has_share && (customer.empty() ||
                                 find_row(row.at("customers"), "name", customer)
                                     .is_object());
        });
    this->need(shown, "it is not: " + reply.dump());
    fmt::print("    {}\n", reply.dump());
    this->world.ctl({"admission", service});
    this->need(this->world.last_output().find(service) != std::string::npos,
               "bilberryctl shows: " + this->world.last_output());
    this->planned_in_term = reply.value("term", std::uint64_t{0});
}

// new-plan SERVICE: waits for a plan of a newer term than the last one shown
void scenario_steps::new_plan(scenario_line const& line)
{
    json reply;
    bool const shown = wait_until(
        [this, &line, &reply]()
        {
            reply = this->plan_of(line.word(1));
            return reply.value("number", std::uint64_t{0}) > 0 &&
                   reply.value("term", std::uint64_t{0}) >
                       this->planned_in_term;
        });
    this->need(shown, "it is not: " + reply.dump());
    fmt::print("    {}\n", reply.dump());
}

// refusals-show SERVICE [not-from HOST] [rank R] [customer NAME]: waits until
// each entry host has logged such a refusal, by a valid plan that this host did
// not make, from here on
void scenario_steps::refusals_show(scenario_line const& line)
{
    std::string const former = line.after("not-from").empty()
                                   ? std::string()
                                   : this->host_of(line.after("not-from"));
    std::optional<std::uint32_t> const rank = line.count_after("rank");
    std::string const customer = line.after("customer");
    for (std::string const& name : this->world.entry_names())
    {
        std::filesystem::path const file = this->world.log_file(name);
        std::streamoff offset =
            static_cast<std::streamoff>(std::filesystem::file_size(file));
        bool found = false;
        bool const shown = wait_until(
            [&]()
            {
                offset = for_each_line(
                    file, offset,
                    [&](json const& each)
                    {
                        found =
                            found ||
                            (is_refusal_of(each, line.word(1)) &&
                             has_valid_plan(each) &&
                             each.value("plan_source", "") != former &&
                             (!rank.has_value() ||
                              each.value("rank", std::uint32_t{0}) == *rank) &&
                             (customer.empty() ||
                              each.value("customer", "") == customer));
                    });
                return found;
            });
        this->need(shown, name + " logs no such refusal");
    }
}

// always-planned SERVICE: since the first plan that it followed, no entry
// host has refused a request without a valid plan
void scenario_steps::always_planned(scenario_line const& line)
{
    for (std::string const& name : this->world.entry_names())
    {
        bool has_plan = false;
        std::string wrong;
        double oldest_ms = 0;
        for_each_line(this->world.log_file(name), 0,
                      [&](json const& each)
                      {
                          if (!is_refusal_of(each, line.word(1)))
                          {
                              return;
                          }
                          has_plan = has_plan || has_valid_plan(each);
                          if (has_plan && !has_valid_plan(each))
                          {
                              wrong = each.dump();
                          }
                          oldest_ms = std::max(oldest_ms,
                                               each.value("plan_age_ms", 0.0));
                      });
        fmt::print("    {}: oldest plan {:.0f} ms\n", name, oldest_ms);
        this->need(has_plan, name + " has followed no plan");
        this->need(wrong.empty(),
                   fmt::format("{} had no plan: {}", name, wrong));
    }
}

// counted SERVICE rank R OUTCOME >= N: waits until the metrics of every entry
// host say so
void scenario_steps::counted(scenario_line const& line)
{
    std::vector<std::string> const labels = {
        fmt::format("service=\"{}\"", line.word(1)),
        fmt::format("rank=\"{}\"", line.word(3)),
        fmt::format("outcome=\"{}\"", line.word(4))};
    for (std::string const& name : this->world.entry_names())
    {
        double sum = 0;
        bool const shown = wait_until(
            [this, &line, &labels, &name, &sum]()
            {
                sum = sum_of_samples(
                    call(this->world.metrics_port(name), "GET", "/metrics")
                        .body,
                    "bilberry_entry_rank_requests_total", labels);
                return compare(sum, line.word(5), line.count(6));
            });
        this->need(shown, fmt::format("{} counts {}", name, sum));
    }
}

// refused LOAD <=|>= N | refused LOAD <=|>= OTHER [plus N|minus N]: refused
// attempts in 100 of each load
void scenario_steps::refused(scenario_line const& line)
{
    double const value = refused_in_100(this->reports.at(line.word(1)));
    std::map<std::string, json>::const_iterator const other =
        this->reports.find(line.word(3));
    double const bound =
        (other == this->reports.end() ? line.count(3)
                                      : refused_in_100(other->second)) +
        line.count_after("plus").value_or(0) -
        line.count_after("minus").value_or(0);
    fmt::print("    {:.1f}, bound {:.1f}\n", value, bound);
    this->need(
        compare(value, line.word(2), bound),
        fmt::format("it is {:.1f}, and the bound is {:.1f}", value, bound));
}

} // namespace bilberrylead::scenario
