#ifndef BILBERRYLEAD_TESTS_AGREEMENT_FAKE_DISK_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_FAKE_DISK_HPP

#include "bilberrylead/agreement/effect.hpp"
#include "bilberrylead/agreement/events/started.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// A simulated data folder: a crash loses the writes that are not synced,
/// except for as many of the first ones as the test chooses.
class fake_disk
{
public:
    /// Adds an unsynced write, or a request to drop a log prefix.
    void write(effect const& write);

    /// Makes every write durable.
    void sync();

    /// Keeps the first `kept` unsynced writes and loses the rest.
    void crash(std::size_t kept);

    /// Loses all data.
    void wipe();

    /// Number of writes that are not durable yet.
    std::size_t unsynced_writes() const;

    /// The durable data, as a process reads it at start.
    started read() const;

private:
    void make_durable(effect const& write);
    void truncate_and_append(append_entries const& added);

    std::vector<effect> unsynced;
    started durable;
};

} // namespace bilberrylead::agreement::tests

#endif
