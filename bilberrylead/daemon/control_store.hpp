#ifndef BILBERRYLEAD_DAEMON_CONTROL_STORE_HPP
#define BILBERRYLEAD_DAEMON_CONTROL_STORE_HPP

#include "bilberrylead/agreement/effects/append_entries.hpp"
#include "bilberrylead/agreement/effects/persist_hard_state.hpp"
#include "bilberrylead/agreement/effects/persist_snapshot.hpp"
#include "bilberrylead/agreement/effects/sync.hpp"
#include "bilberrylead/agreement/events/started.hpp"
#include "bilberrylead/store/journal.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <filesystem>

namespace bilberrylead::daemon
{

/// A control host's data folder: carries out what the replica wants written.
/// Used by one thread.
class control_store
{
public:
    /// Opens the folder and reads it. A blank one gets an incarnation from
    /// the wall clock, so that a host which lost its disk comes back under a
    /// larger one and never votes as its former self. (If the clock went
    /// back as well, the leader refuses the smaller one by name.)
    static absl::StatusOr<control_store>
    open(std::filesystem::path const& folder);

    /// What the folder held; may be moved out.
    agreement::started& recovered();
    /// What the folder held.
    agreement::started const& recovered() const;

    /// The incarnation in use: 1 for a founder.
    std::uint64_t incarnation() const;

    /// Takes the incarnation of a founder. Only for a folder without a log.
    absl::Status become_founder();

    /// Carries out one effect; durable with the next sync.
    absl::Status carry_out(agreement::persist_hard_state const& effect);
    absl::Status carry_out(agreement::append_entries const& effect);
    absl::Status carry_out(agreement::persist_snapshot const& effect);

    /// Makes everything before it durable.
    absl::Status carry_out(agreement::sync const& effect);

    /// Bytes of the journal file.
    std::uint64_t journal_bytes() const;

private:
    explicit control_store(store::journal opened);
    absl::Status read();
    absl::Status write_state(agreement::hard_state const& state);

    store::journal journal;
    agreement::started found;
    std::uint64_t incarnation_number = 0;
};

} // namespace bilberrylead::daemon

#endif
