#include "policy_row.hpp"
#include "profile.hpp"
#include "scenario.hpp"
#include "workload.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <atomic>
#include <cstdio>
#include <exception>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace policy_bench;

/// What the command line asks for.
struct options
{
    std::uint64_t seed = 1;
    std::uint32_t requests = 60000;
    unsigned jobs = 4;
    bool json = false;
    std::string only;
    std::string policy;
};

options parse(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the decisions under load in a seeded model "
                        "of entry hosts, upstreams and links.");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrivals.",
                                        false, 1, "number", line);
    TCLAP::ValueArg<std::uint32_t> requests(
        "", "requests", "Look-ups in each cell.", false, 60000, "number", line);
    TCLAP::ValueArg<unsigned> jobs("", "jobs", "Policies played at a time.",
                                   false, 4, "number", line);
    TCLAP::SwitchArg json("", "json", "Print JSON instead of tables.", line);
    TCLAP::ValueArg<std::string> only(
        "", "only", "Play only scenarios whose title contains this.", false, "",
        "text", line);
    TCLAP::ValueArg<std::string> policy(
        "", "policy", "Play only policies whose name contains this.", false, "",
        "text", line);
    line.parse(argc, argv);
    return {seed.getValue(), requests.getValue(), jobs.getValue(),
            json.getValue(), only.getValue(),     policy.getValue()};
}

std::vector<scenario> scenarios(options const& asked)
{
    std::vector<scenario> all;
    for (double const load : {0.5, 0.8, 0.95, 1.2})
    {
        scenario one;
        one.load = load;
        one.slow_factor = 5;
        one.name =
            fmt::format("{:.0f} % of slots, one slow upstream", load * 100);
        all.push_back(one);
        one.download_share = 0.1;
        one.name += ", beside downloads";
        all.push_back(one);
    }
    scenario burst;
    burst.name = "80 % of slots, bursts of three times as much";
    burst.burst_factor = 3;
    all.push_back(burst);
    scenario heavy;
    heavy.name = "120 % of slots, three callers send half";
    heavy.load = 1.2;
    heavy.heavy_share = 0.5;
    all.push_back(heavy);
    scenario lying;
    lying.name = "80 % of slots, one upstream reports idle";
    lying.lying_report = true;
    all.push_back(lying);
    scenario cold;
    cold.name = "80 % of slots, cold start of one upstream";
    cold.cold_start = true;
    all.push_back(cold);
    for (scenario& one : all)
    {
        one.requests = asked.requests;
        one.seed = asked.seed;
    }
    return all;
}

std::vector<summary> play(std::vector<policy_row> const& rows,
                          profile const& where, scenario const& what,
                          unsigned jobs)
{
    std::vector<arrival> const arrivals = draw_arrivals(where, what);
    std::vector<summary> figures(rows.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    threads.reserve(jobs);
    for (unsigned job = 0; job < jobs; ++job)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t row = next++; row < rows.size(); row = next++)
                {
                    figures[row] = rows[row].play(where, what, arrivals);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return figures;
}

/// Share of the gap between baseline and ideal that the product closes.
double closed(double baseline, double product, double ideal)
{
    return baseline <= ideal ? 0 : (baseline - product) / (baseline - ideal);
}

summary const* find(std::vector<policy_row> const& rows,
                    std::vector<summary> const& figures,
                    std::string const& name)
{
    for (std::size_t row = 0; row < rows.size(); ++row)
    {
        if (rows[row].name == name)
        {
            return &figures[row];
        }
    }
    return nullptr;
}

void print_table(std::vector<policy_row> const& rows,
                 std::vector<summary> const& figures)
{
    fmt::print("{:38} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7}\n",
               "policy", "p50 ms", "p99", "p99.9", "not run", "missed",
               "light nr", "light99", "nr>10ms", "dl/s");
    for (std::size_t row = 0; row < rows.size(); ++row)
    {
        summary const& got = figures[row];
        fmt::print("{:38} {:7.1f} {:8.1f} {:8.1f} {:7.2f}% {:7.3f}% {:7.2f}% "
                   "{:8.1f} {:7.3f}% {:7.2f}\n",
                   rows[row].name, got.p50, got.p99, got.p999,
                   got.not_run * 100, got.missed * 100, got.light_not_run * 100,
                   got.light_p99, got.refused_late * 100, got.downloads);
    }
    summary const* const ours = find(rows, figures, product_name);
    summary const* const ideal = find(rows, figures, ideal_name);
    if (ours == nullptr || ideal == nullptr)
    {
        return;
    }
    for (std::string const& name :
         {std::string("least in flight"), std::string(baseline_name),
          std::string("least in flight, own region, steered")})
    {
        summary const* const base = find(rows, figures, name);
        if (base != nullptr)
        {
            fmt::print("gap closed to \"{}\": p99 {:.2f}, p99.9 {:.2f}; "
                       "median {:.1f} against {:.1f}\n",
                       name, closed(base->p99, ours->p99, ideal->p99),
                       closed(base->p999, ours->p999, ideal->p999), ours->p50,
                       base->p50);
        }
    }
}

nlohmann::json to_json(std::vector<policy_row> const& rows,
                       std::vector<summary> const& figures)
{
    nlohmann::json table = nlohmann::json::array();
    for (std::size_t row = 0; row < rows.size(); ++row)
    {
        summary const& got = figures[row];
        table.push_back({{"policy", rows[row].name},
                         {"p50_ms", got.p50},
                         {"p99_ms", got.p99},
                         {"p999_ms", got.p999},
                         {"not_run", got.not_run},
                         {"missed", got.missed},
                         {"light_not_run", got.light_not_run},
                         {"light_p99_ms", got.light_p99},
                         {"refused_late", got.refused_late},
                         {"refused_p99_ms", got.refused_p99},
                         {"downloads_per_s", got.downloads}});
    }
    return table;
}

int run(options const& asked)
{
    std::vector<policy_row> rows;
    for (policy_row& row : all_policies())
    {
        if (row.name.find(asked.policy) != std::string::npos)
        {
            rows.push_back(std::move(row));
        }
    }
    nlohmann::json all = nlohmann::json::array();
    for (profile const& where : {letrasur(), maksuamet()})
    {
        for (scenario const& what : scenarios(asked))
        {
            std::string const title = where.name + ": " + what.name;
            if (title.find(asked.only) == std::string::npos)
            {
                continue;
            }
            std::vector<summary> const figures =
                play(rows, where, what, asked.jobs);
            if (asked.json)
            {
                all.push_back({{"profile", where.name},
                               {"scenario", what.name},
                               {"seed", asked.seed},
                               {"requests", asked.requests},
                               {"policies", to_json(rows, figures)}});
                continue;
            }
            fmt::print("\n{} (seed {}, {} look-ups)\n", title, asked.seed,
                       asked.requests);
            print_table(rows, figures);
            std::fflush(stdout);
        }
    }
    if (asked.json)
    {
        fmt::print("{}\n", all.dump(1));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(parse(argc, argv));
    }
    catch (std::exception const& error)
    {
        fmt::print(stderr, "policy_bench: {}\n", error.what());
        return 1;
    }
}
