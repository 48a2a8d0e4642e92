#ifndef BILBERRYLEAD_TESTS_AGREEMENT_FAKE_DISK_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_FAKE_DISK_HPP

#include "bilberrylead/agreement/effect.hpp"
#include "bilberrylead/agreement/events/started.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// A data folder: writes are lost by a crash until they are synced, except
/// for as many of the first ones as the test says.
class fake_disk
{
public:
    /// Takes a write, or the permission to drop old entries.
    void write(effect const& write);

    /// Makes every write durable.
    void sync();

    /// Loses the writes after the first `kept` unsynced ones.
    void crash(std::size_t kept);

    /// Loses everything.
    void wipe();

    /// How many writes are not durable yet.
    std::size_t unsynced_writes() const;

    /// What a process reads at its start.
    started read() const;

private:
    void make_durable(effect const& write);
    void truncate_and_append(append_entries const& added);

    std::vector<effect> unsynced;
    started durable;
};

} // namespace bilberrylead::agreement::tests

#endif
