// Measures the table of client blocks: bytes and nanoseconds by number of
// blocks, up to the full 4.1 million, and what a change costs.
#include "bilberrylead/steering/block_table.hpp"
#include "performance/slope_table.hpp"

#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::steering;
using bilberrylead::performance::clock_nanoseconds;
using bilberrylead::performance::least_nanoseconds_of;
using bilberrylead::performance::nanoseconds_of;
using bilberrylead::performance::reference_step_nanoseconds;
using bilberrylead::performance::slope_table;

namespace
{

constexpr std::uint64_t seed = 20261202;
constexpr std::size_t full_size = 4'100'000;
constexpr block_value sites = 810;
constexpr std::size_t timed_callers = 1'000'000;

/// Which blocks a run has.
struct block_mix
{
    char const* name;
    /// Percent of IPv4.
    unsigned v4_percent;
    /// True: most blocks are of a few lengths, as networks are announced,
    /// and lie side by side. False: all lengths alike, nested four deep.
    bool announced;
};

unsigned v4_length(block_mix const& mix, std::mt19937_64& random)
{
    if (mix.announced)
    {
        return random() % 100 < 70 ? 24
                                   : 16 + static_cast<unsigned>(random() % 8);
    }
    return 12 + static_cast<unsigned>((random() % 9) + (random() % 9));
}

unsigned v6_length(block_mix const& mix, std::mt19937_64& random)
{
    if (mix.announced)
    {
        return random() % 100 < 60
                   ? 48
                   : 32 + 4 * static_cast<unsigned>(random() % 7);
    }
    return 32 + static_cast<unsigned>(random() % 33);
}

address_block random_block(block_mix const& mix, std::mt19937_64& random)
{
    if (random() % 100 < mix.v4_percent)
    {
        // From 1.0.0.0 to 223.255.255.255.
        std::uint32_t const address = static_cast<std::uint32_t>(
            (1 + random() % 223) << 24U | (random() & 0xFFFFFFU));
        return address_block::containing(ip_address(address),
                                         v4_length(mix, random));
    }
    // Within 2000::/3, in clusters as registries hand them out.
    std::uint64_t const cluster = random() % 4'000;
    std::uint64_t const high =
        std::uint64_t{0x2000} << 48U | cluster << 45U | (random() >> 19U);
    return address_block::containing(ip_address(v6_key{high, 0}),
                                     v6_length(mix, random));
}

std::vector<valued_block> random_blocks(block_mix const& mix, std::size_t count,
                                        std::mt19937_64& random)
{
    std::vector<valued_block> blocks;
    blocks.reserve(count + count / 4);
    while (blocks.size() < count)
    {
        while (blocks.size() < count + count / 8)
        {
            blocks.push_back({random_block(mix, random),
                              static_cast<block_value>(random() % sites)});
        }
        std::sort(blocks.begin(), blocks.end(),
                  [](valued_block const& left, valued_block const& right)
                  {
                      return left.block < right.block;
                  });
        blocks.erase(
            std::unique(blocks.begin(), blocks.end(),
                        [](valued_block const& left, valued_block const& right)
                        {
                            return left.block == right.block;
                        }),
            blocks.end());
    }
    std::shuffle(blocks.begin(), blocks.end(), random);
    blocks.resize(count);
    return blocks;
}

/// Nine of ten callers from within a block, one from anywhere.
std::vector<ip_address> random_callers(std::vector<valued_block> const& blocks,
                                       std::mt19937_64& random)
{
    std::vector<ip_address> callers;
    callers.reserve(timed_callers);
    for (std::size_t i = 0; i < timed_callers; ++i)
    {
        address_block const& block = blocks[random() % blocks.size()].block;
        ip_address const& first = block.first();
        if (random() % 10 == 0)
        {
            callers.emplace_back(static_cast<std::uint32_t>(random()));
        }
        else if (first.is_v4())
        {
            std::uint32_t const host =
                static_cast<std::uint32_t>(random()) &
                ~truncated(~std::uint32_t{0}, block.length());
            callers.emplace_back(first.v4() | host);
        }
        else
        {
            callers.emplace_back(v6_key{first.v6().high, random()});
        }
    }
    return callers;
}

double heap_bytes()
{
    struct mallinfo2 const info = ::mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

/// One dependent access to a random line of an array as large as the table
/// of IPv4 blocks, on large pages: what a search cannot do without.
double memory_wait_nanoseconds()
{
    constexpr std::size_t lines = std::size_t{1} << 20U;
    constexpr std::size_t numbers_per_line = 16;
    std::vector<std::uint32_t> order(lines);
    std::iota(order.begin(), order.end(), 0U);
    std::mt19937_64 random(seed);
    std::shuffle(order.begin(), order.end(), random);
    std::vector<std::uint32_t, large_page_allocator<std::uint32_t>> next(
        lines * numbers_per_line);
    for (std::size_t i = 0; i < lines; ++i)
    {
        next[order[i] * numbers_per_line] = static_cast<std::uint32_t>(
            order[(i + 1) % lines] * numbers_per_line);
    }
    std::uint32_t volatile place = 0;
    double const total = nanoseconds_of(
        [&]
        {
            std::uint32_t at = place;
            for (std::size_t i = 0; i < lines; ++i)
            {
                at = next[at];
            }
            place = at;
        });
    return total / static_cast<double>(lines);
}

struct look_up_times
{
    double mean = 0;
    double median = 0;
    double p99 = 0;
};

/// Times each look-up alone, the two clock readings included, so that the
/// processor cannot overlap one with the next.
look_up_times time_look_ups(block_table const& table,
                            std::vector<ip_address> const& callers)
{
    std::uint64_t found = 0;
    std::vector<double> times;
    times.reserve(callers.size());
    for (ip_address const& caller : callers)
    {
        times.push_back(nanoseconds_of(
            [&]
            {
                found += table.find(caller).has_value() ? 1U : 0U;
            }));
    }
    look_up_times result;
    result.mean = least_nanoseconds_of(
                      2,
                      [&]
                      {
                          for (ip_address const& caller : callers)
                          {
                              found += table.find(caller).has_value() ? 1U : 0U;
                          }
                      }) /
                  static_cast<double>(callers.size());
    std::sort(times.begin(), times.end());
    result.median = times[times.size() / 2];
    result.p99 = times[times.size() / 100 * 99];
    if (found == 0)
    {
        std::abort();
    }
    return result;
}

void measure_size(block_mix const& mix, std::size_t size, slope_table& memory,
                  slope_table& build, double reference)
{
    std::mt19937_64 random(seed);
    std::vector<valued_block> const blocks = random_blocks(mix, size, random);
    std::vector<ip_address> const callers = random_callers(blocks, random);
    double const before = heap_bytes();
    block_table table;
    double const built = nanoseconds_of(
        [&]
        {
            table = block_table::build(blocks).value();
        });
    double const held = heap_bytes() - before;
    memory.add(size, held);
    build.add(size, built);
    look_up_times const times = time_look_ups(table, callers);
    fmt::print("{:>11} {:>9} blocks: {:>6.1f} MB, {:>5.1f} bytes each; look-up "
               "ns: mean {:.0f} ({:.0f} steps), median {:.0f} ({:.0f} steps), "
               "p99 {:.0f}\n",
               mix.name, size, held / 1e6, held / static_cast<double>(size),
               times.mean, times.mean / reference, times.median,
               times.median / reference, times.p99);
    std::fflush(stdout);
}

void measure_changes(block_mix const& mix, double reference)
{
    std::mt19937_64 random(seed);
    std::vector<valued_block> const blocks =
        random_blocks(mix, full_size, random);
    std::vector<ip_address> const callers = random_callers(blocks, random);
    block_table const table = block_table::build(blocks).value();
    slope_table change("change of that many blocks on the full table", "ns",
                       "blocks changed");
    slope_table look_up("median look-up beside that many changed blocks", "ns",
                        "blocks changed");
    for (std::size_t const size : {10U, 100U, 1'000U, 10'000U, 40'000U})
    {
        block_delta delta;
        for (std::size_t i = 0; i < size; ++i)
        {
            delta.set.push_back(
                {blocks[i].block, static_cast<block_value>(i % sites)});
        }
        block_table changed;
        change.add(size, least_nanoseconds_of(
                             3,
                             [&]
                             {
                                 changed = table.with_changes(delta).value();
                             }));
        look_up.add(size, time_look_ups(changed, callers).median);
        if (size == 40'000U)
        {
            double const merged = nanoseconds_of(
                [&]
                {
                    changed = changed.compacted();
                });
            fmt::print("\ncompaction of the full table: {:.0f} ms\n",
                       merged / 1e6);
        }
    }
    change.print(reference);
    look_up.print(reference);
}

} // namespace

int main()
{
    double const reference = reference_step_nanoseconds();
    fmt::print("block_slopes: seed {}, reference step {:.3f} ns, {} look-ups, "
               "one thread; timing nothing takes {:.0f} ns, which is part of "
               "median and p99; one wait for memory takes {:.0f} ns\n",
               seed, reference, timed_callers, clock_nanoseconds(),
               memory_wait_nanoseconds());
    for (block_mix const& mix :
         {block_mix{"IPv4", 100, true}, block_mix{"mixed", 60, true},
          block_mix{"IPv6", 0, true}, block_mix{"IPv4 nested", 100, false},
          block_mix{"IPv6 nested", 0, false}})
    {
        slope_table memory(fmt::format("{}: memory of the table", mix.name),
                           "bytes", "blocks");
        slope_table build(fmt::format("{}: building the table", mix.name), "ns",
                          "blocks");
        for (std::size_t const size :
             {std::size_t{250'000}, std::size_t{500'000},
              std::size_t{1'000'000}, std::size_t{2'000'000}, full_size})
        {
            measure_size(mix, size, memory, build, reference);
        }
        memory.print(reference);
        build.print(reference);
        fmt::print("\n");
    }
    measure_changes({"mixed", 60, true}, reference);
    struct rusage usage = {};
    ::getrusage(RUSAGE_SELF, &usage);
    fmt::print("\nlargest resident size of this program, its inputs "
               "included: {} MB\n",
               usage.ru_maxrss / 1'000);
    return 0;
}
