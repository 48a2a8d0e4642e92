#include "bilberrylead/link/admission_conversion.hpp"
#include "bilberrylead/link/message.hpp"
#include "bilberrylead/policy/admission_planner.hpp"
#include "bilberrylead/policy/generator.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrylead;

namespace
{

constexpr std::size_t services = 4;
constexpr std::size_t regions = 3;
constexpr std::size_t customers = 77;
/// Traffic that control may cause at an entry host, bytes per second.
constexpr std::size_t max_control_traffic = 5000;

/// One host's report: its part of 1,500 slots of demand over 4 services, with
/// the rates of the customers varied by a factor of up to 8.
std::vector<policy::admission_demand> report_of_host(std::size_t hosts,
                                                     policy::generator& random)
{
    double const host_demand = 1500.0 / static_cast<double>(hosts);
    std::vector<policy::admission_demand> report;
    for (std::size_t service = 0; service < services; ++service)
    {
        policy::admission_demand each;
        each.service = service_id("service-" + std::to_string(service));
        for (std::uint32_t rank = 0; rank < 3; ++rank)
        {
            each.ranks.push_back({rank, host_demand / services / 3});
        }
        for (std::size_t number = 0; number < customers; ++number)
        {
            double const factor = std::pow(8, random.unit());
            each.customers.push_back(
                {customer_id("customer-" + std::to_string(number)),
                 static_cast<std::uint32_t>(number % 3),
                 host_demand / services / customers * factor});
        }
        std::sort(each.customers.begin(), each.customers.end(),
                  [](auto const& left, auto const& right)
                  {
                      return left.slots > right.slots;
                  });
        each.customers.resize(link::max_admission_customers);
        report.push_back(each);
    }
    return report;
}

/// Size of the longest plan of a region, all services being short of slots.
std::size_t plan_size(std::size_t hosts, policy::generator& random)
{
    std::map<service_id, std::vector<policy::admission_region>> demands;
    for (std::size_t host = 0; host < hosts; ++host)
    {
        for (policy::admission_demand const& each :
             report_of_host(hosts, random))
        {
            std::vector<policy::admission_region>& rows = demands[each.service];
            rows.resize(regions);
            rows[host % regions].add(each);
        }
    }
    std::vector<std::vector<double>> const local = {
        {1, 0, 0}, {0, 1, 0}, {0, 0, 1}};
    std::vector<std::size_t> sizes;
    std::vector<link::region_plan> plans(regions);
    for (link::region_plan& plan : plans)
    {
        plan.admission = link::admission_shares{1, {}, {}};
        plan.entry_hosts = hosts;
    }
    for (auto& [service, rows] : demands)
    {
        for (policy::admission_region& each : rows)
        {
            each.slots = 1500.0 / services / regions / 1.6;
        }
        std::vector<policy::admission_plan> const planned =
            policy::admission_planner().plan(service, rows, local);
        for (std::size_t index = 0; index < regions; ++index)
        {
            plans[index].admission->services.push_back(
                link::to_rows(planned[index]));
        }
    }
    std::size_t largest = 0;
    for (link::region_plan const& plan : plans)
    {
        largest = std::max(largest, link::encode(plan).size());
    }
    return largest;
}

} // namespace

// Names of 63 letters that have nothing in common, for ten services. Guards
// against reports and plans whose size depends on the names.
Test(admission_size, long_names_do_not_exceed_the_control_traffic_of_a_host)
{
    policy::generator random(1);
    std::vector<policy::admission_demand> report;
    for (std::size_t service = 0; service < 10; ++service)
    {
        policy::admission_demand each;
        each.service = service_id("service-" + std::to_string(service));
        each.ranks = {{0, 2}, {1, 60}};
        for (std::size_t number = 0; number < 32; ++number)
        {
            std::string name;
            while (name.size() < 63)
            {
                name.push_back(static_cast<char>('a' + random.unit() * 26));
            }
            each.customers.push_back({customer_id(name), 1, 2});
        }
        report.push_back(each);
    }
    link::entry_presence presence;
    presence.admission = link::to_rows(report);
    cr_expect(link::encode(presence).size() < max_control_traffic / 2);
    for (link::admission_rows const& each : *presence.admission)
    {
        cr_expect(each.customers.size() >= 2,
                  "every service keeps its largest");
    }
    link::region_plan plan;
    plan.admission = link::admission_shares{1, {}, *presence.admission};
    cr_expect(link::encode(plan).size() < max_control_traffic / 2);
}

// 77 customers compete for four services at 1.6 times the slots. Each host
// sends a report and receives a plan each second. Guards against control
// traffic that grows with the number of hosts or exceeds its limit.
Test(admission_size, report_and_plan_fit_the_control_traffic_of_a_host)
{
    for (std::size_t const hosts : std::array<std::size_t, 3>{30, 100, 300})
    {
        policy::generator random(hosts);
        std::vector<policy::admission_demand> const report =
            report_of_host(hosts, random);
        link::entry_presence presence;
        presence.zone = zone_id("zone-a");
        presence.region = region_id("region-a");
        std::size_t const before = link::encode(presence).size();
        presence.admission = link::to_rows(report);
        std::size_t const added = link::encode(presence).size() - before;
        std::size_t const plan = plan_size(hosts, random);
        cr_log_info("%zu hosts: %zu bytes for a report, %zu for a plan", hosts,
                    added, plan);
        cr_expect(added + plan < max_control_traffic / 2);
    }
}
