// Measures what the replicated state and the journal cost, at several sizes
// each: state_slopes [FOLDER], where FOLDER (default: the temporary folder)
// is on the disk whose sync is measured.
#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/catalog/replicated_state.hpp"
#include "bilberrylead/store/journal.hpp"
#include "performance/slope_table.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using bilberrylead::catalog::catalog_settings;
using bilberrylead::catalog::change_command;
using bilberrylead::catalog::encode_command;
using bilberrylead::catalog::replicated_state;
using bilberrylead::performance::least_nanoseconds_of;
using bilberrylead::performance::nanoseconds_of;
using bilberrylead::performance::reference_step_nanoseconds;
using bilberrylead::performance::slope_table;

namespace
{

constexpr std::uint64_t seed = 20261202;
constexpr std::size_t answer_bytes = 120;

double heap_bytes()
{
    return static_cast<double>(::mallinfo2().uordblks) +
           static_cast<double>(::mallinfo2().hblkhd);
}

/// Ends the program if the journal failed: its figures would be of errors.
void require(absl::Status const& status)
{
    if (!status.ok())
    {
        fmt::print(stderr, "state_slopes: {}\n", std::string(status.message()));
        std::exit(1);
    }
}

once::claim claim_number(std::uint64_t number, std::mt19937_64& random)
{
    // Keys as callers make them: 36 characters, in no order.
    std::string const key = fmt::format("{:016x}-{:019d}", random(), number);
    return {{service_id("grants"),
             caller_id(fmt::format("publisher-{}", number % 400)), key},
            random(),
            request_id(fmt::format("e{:03}-{:012}", number % 11, number)),
            host_id(fmt::format("entry-{}", number % 11)),
            1};
}

once::once_settings wide_bounds()
{
    return {.max_records = 1'000'000,
            .max_records_per_caller = 1'000'000,
            .max_spent_keys = 10'000'000,
            .max_total_answer_bytes = std::size_t{1} << 30U};
}

void measure_claims(double reference)
{
    slope_table apply("claim and its answer, decoded and applied", "ns",
                      "claims");
    slope_table memory("memory of run-at-most-once records", "bytes",
                       "records");
    slope_table encoded("snapshot of them", "bytes", "records");
    slope_table encode("making that snapshot", "ns", "records");
    slope_table load("loading that snapshot", "ns", "records");
    for (std::size_t const size :
         {25'000U, 50'000U, 100'000U, 200'000U, 400'000U})
    {
        std::mt19937_64 random(seed);
        std::vector<bytes> log;
        log.reserve(2 * size);
        for (std::size_t number = 0; number < size; ++number)
        {
            once::claim const claim = claim_number(number, random);
            once::complete const complete{
                claim.key,
                claim.request,
                {201, "application/json", bytes(answer_bytes, 'x'), false}};
            log.push_back(encode_command(claim));
            log.push_back(encode_command(complete));
        }
        double const before = heap_bytes();
        std::unique_ptr<replicated_state> const state =
            std::make_unique<replicated_state>(catalog_settings(),
                                               wide_bounds());
        std::uint64_t index = 0;
        apply.add(size, nanoseconds_of(
                            [&]
                            {
                                for (bytes const& record : log)
                                {
                                    state->apply(++index, record);
                                }
                            }));
        memory.add(size, heap_bytes() - before);
        bytes snapshot;
        encode.add(size, least_nanoseconds_of(2,
                                              [&]
                                              {
                                                  snapshot =
                                                      state->encode_snapshot();
                                              }));
        encoded.add(size, static_cast<double>(snapshot.size()));
        replicated_state loaded(catalog_settings(), wide_bounds());
        load.add(size, nanoseconds_of(
                           [&]
                           {
                               if (!loaded.restore(snapshot).ok())
                               {
                                   std::abort();
                               }
                           }));
    }
    for (slope_table const* table : {&apply, &memory, &encoded, &encode, &load})
    {
        table->print(reference);
    }
}

void measure_spent_keys(double reference)
{
    slope_table memory("memory of spent keys", "bytes", "keys");
    slope_table look_up("100,000 claims of new keys beside spent keys", "ns",
                        "spent keys");
    for (std::size_t const size : {375'000U, 750'000U, 1'500'000U, 3'000'000U})
    {
        std::mt19937_64 random(seed);
        once::once_settings const bounds = wide_bounds();
        double const before = heap_bytes();
        std::unique_ptr<once::spent_keys> const spent =
            std::make_unique<once::spent_keys>(bounds);
        for (std::size_t number = 0; number < size; ++number)
        {
            once::work_digest key;
            for (std::uint8_t& each : key.content)
            {
                each = static_cast<std::uint8_t>(random());
            }
            // Spread over the whole retention, as a steady load would be.
            static_cast<void>(
                spent->add(key, bounds.spent_retention / size * number));
        }
        memory.add(size, heap_bytes() - before);
        std::uint64_t found = 0;
        once::work_digest wanted;
        look_up.add(size, nanoseconds_of(
                              [&]
                              {
                                  for (std::size_t i = 0; i < 100'000; ++i)
                                  {
                                      wanted.content[i % 16] =
                                          static_cast<std::uint8_t>(random());
                                      found +=
                                          spent->contains(wanted) ? 1U : 0U;
                                  }
                              }));
        if (found > 0)
        {
            std::abort();
        }
    }
    memory.print(reference);
    look_up.print(reference);
}

void measure_changes(double reference)
{
    slope_table by_document("change decoded and applied, by document size",
                            "ns", "document bytes");
    for (std::size_t const size :
         {std::size_t{1} << 10U, std::size_t{1} << 14U, std::size_t{1} << 17U,
          std::size_t{1} << 20U, std::size_t{1} << 22U})
    {
        constexpr std::uint64_t changes = 24;
        std::vector<bytes> log;
        log.reserve(changes);
        for (std::uint64_t base = 0; base < changes; ++base)
        {
            log.push_back(encode_command(
                change_command{change_id(fmt::format("change-{}", base)), base,
                               "ana", wall_time(), bytes(size, ' ')}));
        }
        replicated_state state;
        std::uint64_t index = 0;
        double const total = nanoseconds_of(
            [&]
            {
                for (bytes const& record : log)
                {
                    state.apply(++index, record);
                }
            });
        by_document.add(size, total / static_cast<double>(changes));
    }
    by_document.print(reference);

    slope_table memory("audit trail in memory", "bytes", "changes");
    slope_table encoded("audit trail in the snapshot", "bytes", "changes");
    slope_table apply("small change applied", "ns", "changes");
    for (std::size_t const size : {2'500U, 5'000U, 10'000U, 20'000U, 40'000U})
    {
        std::vector<bytes> log;
        log.reserve(size);
        for (std::uint64_t base = 0; base < size; ++base)
        {
            log.push_back(encode_command(change_command{
                change_id(fmt::format("2026-12-02-{:012}", base)), base,
                "ana.rodriguez", wall_time(), bytes(64, ' ')}));
        }
        double const before = heap_bytes();
        std::unique_ptr<replicated_state> const state =
            std::make_unique<replicated_state>();
        std::uint64_t index = 0;
        apply.add(size, nanoseconds_of(
                            [&]
                            {
                                for (bytes const& record : log)
                                {
                                    state->apply(++index, record);
                                }
                            }));
        memory.add(size, heap_bytes() - before);
        encoded.add(size, static_cast<double>(state->encode_snapshot().size()));
    }
    memory.print(reference);
    encoded.print(reference);
    apply.print(reference);
}

double median_of(std::vector<double> values)
{
    std::nth_element(values.begin(),
                     values.begin() +
                         static_cast<std::ptrdiff_t>(values.size() / 2),
                     values.end());
    return values[values.size() / 2];
}

void measure_journal(std::filesystem::path const& parent, double reference)
{
    std::string name = parent / "bilberrylead-slopes-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        fmt::print(stderr, "state_slopes: no folder in {}.\n", parent.string());
        std::exit(1);
    }
    std::mt19937_64 random(seed);
    bytes const record = encode_command(claim_number(1, random));
    slope_table sync("sync of a batch, median of 200", "ns", "records");
    for (std::size_t const size : {1U, 8U, 64U, 256U, 1024U})
    {
        std::filesystem::path const folder =
            std::filesystem::path(name) / std::to_string(size);
        absl::StatusOr<store::journal> journal = store::journal::open(folder);
        std::vector<double> times;
        std::uint64_t index = 0;
        for (int round = 0; journal.ok() && round < 200; ++round)
        {
            for (std::size_t i = 0; i < size; ++i)
            {
                require(journal->append(++index, record));
            }
            times.push_back(nanoseconds_of(
                [&]
                {
                    require(journal->sync());
                }));
        }
        if (!journal.ok() || journal->has_failed())
        {
            fmt::print(stderr, "state_slopes: the journal failed.\n");
            std::exit(1);
        }
        sync.add(size, median_of(times));
    }
    fmt::print("\nrecord of a claim in the journal: {} bytes\n", record.size());
    sync.print(reference);

    slope_table open("opening a journal", "ns", "records");
    for (std::size_t const size : {10'000U, 20'000U, 40'000U, 80'000U})
    {
        std::filesystem::path const folder =
            std::filesystem::path(name) / ("open" + std::to_string(size));
        {
            absl::StatusOr<store::journal> journal =
                store::journal::open(folder);
            for (std::uint64_t index = 1; index <= size; ++index)
            {
                require(journal->append(index, record));
            }
            require(journal->sync());
        }
        open.add(size, nanoseconds_of(
                           [&]
                           {
                               if (!store::journal::open(folder).ok())
                               {
                                   std::exit(1);
                               }
                           }));
    }
    open.print(reference);
    std::filesystem::remove_all(name);
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::filesystem::path const parent =
        argument_count > 1 ? std::filesystem::path(arguments[1])
                           : std::filesystem::temp_directory_path();
    double const reference = reference_step_nanoseconds();
    fmt::print("state_slopes: seed {}, reference step {:.3f} ns\n", seed,
               reference);
    measure_claims(reference);
    measure_spent_keys(reference);
    measure_changes(reference);
    measure_journal(parent, reference);
    return 0;
}
