#include "bilberrylead/agreement/replica.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>

using namespace bilberrylead::agreement;
using bilberrylead::bytes;
using bilberrylead::host_id;
using bilberrylead::instant;

namespace
{

/// A group with one member, which commits at once.
struct sole_replica
{
    explicit sole_replica(replica_settings const& settings)
        : one(host_id("a"), 1, settings, 1)
    {
        started first;
        first.initial_membership =
            membership{{member{host_id("a"), 1, true, false}}};
        this->one.reduce(first, instant());
        this->one.reduce(tick{}, instant(std::chrono::seconds(2)));
        cr_assert(this->one.role() == role::leader);
    }

    /// Proposes a command and returns the index of the requested snapshot, if
    /// there is one.
    std::optional<std::uint64_t> propose_one()
    {
        std::optional<std::uint64_t> requested;
        for (effect const& made :
             this->one.reduce(propose{1, bytes(3)}, this->now))
        {
            if (take_snapshot const* const wanted =
                    std::get_if<take_snapshot>(&made))
            {
                requested = wanted->index;
            }
        }
        return requested;
    }

    replica one;
    instant now{std::chrono::seconds(2)};
};

} // namespace

Test(snapshot, state_when_too_large_to_store_is_not_encoded_for_every_entry)
{
    // The state exceeds the size limit, so its snapshots are not stored. If
    // each entry requested another one, encoding them would take all of the
    // leader's time and callers would see an outage.
    replica_settings settings;
    settings.snapshot_threshold = 10;
    settings.max_snapshot_bytes = 4;
    sole_replica sole(settings);
    std::size_t requested = 0;
    for (int entries = 0; entries < 40; ++entries)
    {
        std::optional<std::uint64_t> const index = sole.propose_one();
        if (index.has_value())
        {
            ++requested;
            sole.one.reduce(snapshot_taken{*index, bytes(5)}, sole.now);
        }
    }
    cr_assert_eq(requested, 4U);
}
