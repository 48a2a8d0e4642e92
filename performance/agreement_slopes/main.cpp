// Prints what the replicated log costs at several sizes, with the straight
// line through them. Times are the best of a few rounds and are also given
// in units of a reference loop of the same run (1 KiB of FNV-1a), so that
// figures of two machines can be compared.
#include "bilberrylead/agreement/codec.hpp"
#include "linear_fit.hpp"
#include "memory_group.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>
#include <string_view>
#include <vector>

namespace
{

using bilberrylead::bytes;
using bilberrylead::agreement::event;
using bilberrylead::agreement::propose;
using bilberrylead::agreement_slopes::linear_fit;
using bilberrylead::agreement_slopes::memory_group;
using bilberrylead::agreement_slopes::sample;

constexpr std::uint64_t seed = 1;
constexpr int rounds = 7;
constexpr std::size_t payload_bytes = 200;
constexpr std::size_t mebibyte = 1024UL * 1024;

/// Nanoseconds of the best of a few rounds; each gets a fresh subject.
template <class Prepare, class Work>
double best_of_rounds(Prepare prepare, Work work)
{
    double best = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round)
    {
        auto subject = prepare();
        std::chrono::steady_clock::time_point const start =
            std::chrono::steady_clock::now();
        work(subject);
        std::chrono::duration<double, std::nano> const taken =
            std::chrono::steady_clock::now() - start;
        best = std::min(best, taken.count());
    }
    return best;
}

/// The reference loop: FNV-1a over 1 KiB.
double reference_nanoseconds()
{
    constexpr std::size_t kibibyte = 1024;
    constexpr std::size_t repeats = 1000;
    double const total = best_of_rounds(
        []
        {
            return bytes(kibibyte, 7);
        },
        [](bytes const& data)
        {
            std::uint64_t digest = 14695981039346656037ULL;
            for (std::size_t repeat = 0; repeat < repeats; ++repeat)
            {
                for (std::uint8_t const one : data)
                {
                    digest = (digest ^ one) * 1099511628211ULL;
                }
            }
            std::uint64_t const volatile kept = digest;
            static_cast<void>(kept);
        });
    return total / repeats;
}

void print_samples(std::string_view what, std::string_view size_unit,
                   std::string_view cost_unit,
                   std::vector<sample> const& samples)
{
    fmt::print("{}\n", what);
    for (sample const& one : samples)
    {
        fmt::print("  {:>8} {:<12} {:>14.0f} {}\n", one.size, size_unit,
                   one.cost, cost_unit);
    }
    linear_fit const line(samples);
    fmt::print("  fit: {:.0f} + {:.1f} per {}, residual {:.1f} %\n",
               line.intercept, line.slope, size_unit, 100 * line.residual);
}

void print_times(std::string_view what, std::string_view size_unit,
                 std::vector<sample> const& samples, double reference)
{
    print_samples(what, size_unit, "ns", samples);
    linear_fit const line(samples);
    fmt::print("  slope in reference loops: {:.3f}\n", line.slope / reference);
}

std::vector<event> proposals(std::size_t count)
{
    std::vector<event> events;
    events.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        events.emplace_back(propose{number + 1, bytes(payload_bytes, 1)});
    }
    return events;
}

void measure_commits(double reference)
{
    std::vector<sample> samples;
    for (std::size_t const batch : {1UL, 4UL, 16UL, 64UL, 256UL})
    {
        std::vector<event> const events = proposals(batch);
        double const cost = best_of_rounds(
            []
            {
                return std::make_unique<memory_group>(3, seed);
            },
            [&events](std::unique_ptr<memory_group> const& group)
            {
                group->give_leader(events);
            });
        samples.push_back({static_cast<double>(batch), cost});
    }
    print_times("commit a batch of 200-byte commands, 3 voters, all of them",
                "entries", samples, reference);
}

std::unique_ptr<memory_group> group_with_late_voter(std::size_t missed)
{
    constexpr std::size_t chunk = 50;
    std::unique_ptr<memory_group> group =
        std::make_unique<memory_group>(3, seed);
    group->cut_last(true);
    std::vector<event> const events = proposals(chunk);
    for (std::size_t done = 0; done < missed; done += chunk)
    {
        group->give_leader(events);
    }
    group->cut_last(false);
    return group;
}

void catch_up(memory_group& group)
{
    while (group.last_voter_commit() < group.commit())
    {
        group.heartbeat();
    }
}

void measure_catch_up(double reference)
{
    std::vector<sample> times;
    std::vector<sample> sizes;
    for (std::size_t const missed : {250UL, 500UL, 1000UL, 2000UL})
    {
        double const size = static_cast<double>(missed);
        times.push_back(
            {size, best_of_rounds(
                       [missed]
                       {
                           return group_with_late_voter(missed);
                       },
                       [](std::unique_ptr<memory_group> const& group)
                       {
                           catch_up(*group);
                       })});
        std::unique_ptr<memory_group> const group =
            group_with_late_voter(missed);
        group->count_bytes(true);
        catch_up(*group);
        sizes.push_back({size, static_cast<double>(group->message_bytes())});
    }
    print_times("catch up after missed 200-byte commands, both ends", "entries",
                times, reference);
    print_samples("catch up, messages of the whole group", "entries", "bytes",
                  sizes);
}

void measure_heartbeats(double reference)
{
    constexpr int beats = 1000;
    std::vector<sample> times;
    std::vector<sample> sizes;
    for (std::size_t const followers : {2UL, 4UL, 6UL, 8UL})
    {
        double const size = static_cast<double>(followers);
        auto const make = [followers]
        {
            return std::make_unique<memory_group>(followers + 1, seed);
        };
        auto const beat = [](std::unique_ptr<memory_group> const& group)
        {
            for (int done = 0; done < beats; ++done)
            {
                group->heartbeat();
            }
        };
        times.push_back({size, best_of_rounds(make, beat) / beats});
        std::unique_ptr<memory_group> const group = make();
        group->count_bytes(true);
        beat(group);
        sizes.push_back(
            {size, static_cast<double>(group->message_bytes()) / beats});
    }
    print_times("one heartbeat with its answers, both ends", "followers", times,
                reference);
    print_samples("one heartbeat with its answers", "followers", "bytes",
                  sizes);
}

void measure_snapshots(double reference)
{
    using namespace bilberrylead::agreement;
    std::vector<sample> writes;
    std::vector<sample> reads;
    for (std::size_t const size : {1UL, 2UL, 4UL, 8UL})
    {
        snapshot const whole{1, 1, membership(), bytes(size * mebibyte, 3)};
        bytes const encoded = encode_snapshot(whole);
        writes.push_back(
            {static_cast<double>(size), best_of_rounds(
                                            []
                                            {
                                                return bytes();
                                            },
                                            [&whole](bytes& to)
                                            {
                                                to = encode_snapshot(whole);
                                            })});
        reads.push_back(
            {static_cast<double>(size), best_of_rounds(
                                            []
                                            {
                                                return snapshot();
                                            },
                                            [&encoded](snapshot& to)
                                            {
                                                to = *decode_snapshot(encoded);
                                            })});
    }
    print_times("encode a snapshot", "MiB", writes, reference);
    print_times("decode a snapshot", "MiB", reads, reference);
}

} // namespace

int main(int count, char** arguments)
{
    if (count > 1)
    {
        fmt::print(stderr, "usage: {}\n  takes no arguments\n", *arguments);
        return 2;
    }
    double const reference = reference_nanoseconds();
    fmt::print("seed {}, best of {} rounds, one thread, no disk, no network\n"
               "reference loop (FNV-1a over 1 KiB): {:.0f} ns\n",
               seed, rounds, reference);
    measure_commits(reference);
    measure_catch_up(reference);
    measure_heartbeats(reference);
    measure_snapshots(reference);
    return 0;
}
