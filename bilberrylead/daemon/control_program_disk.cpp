#include "bilberrylead/daemon/control_program_parts.hpp"

#include <chrono>
#include <utility>

/// The data folder, and what happens when it fails.
namespace bilberrylead::daemon
{

namespace
{

using error_code = boost::system::error_code;

constexpr part_log log{"control"};

/// How often a failed data folder is tried again: a disk that was full has
/// room again without a word.
constexpr std::chrono::milliseconds disk_pause{500};

} // namespace

/// The log may keep no promise until its disk takes writes again: the other
/// control hosts elect a leader. Callers still get steering answers here,
/// and a disk that was only full is used again without an operator.
void control_program::implementation::wait_for_disk()
{
    this->disk_timer.expires_after(disk_pause);
    this->disk_timer.async_wait(
        [this](error_code const& error) noexcept
        {
            if (!error && !this->reopen())
            {
                this->wait_for_disk();
            }
        });
}

bool control_program::implementation::reopen()
{
    absl::StatusOr<control_store> opened =
        control_store::open(this->settings.data_folder);
    absl::Status usable = opened.status();
    if (usable.ok())
    {
        // A disk that is still full can be read; only a write tells.
        usable = opened->carry_out(
            agreement::persist_hard_state{opened->recovered().hard_state});
    }
    if (usable.ok())
    {
        usable = opened->carry_out(agreement::sync{});
    }
    if (!usable.ok())
    {
        return false;
    }
    log.info("The data folder takes writes again.");
    this->store.emplace(std::move(*opened));
    this->disk_failed = false;
    this->ended_by = absl::OkStatus();
    this->pending.clear();
    this->start_reducer(std::move(this->store->recovered()));
    return true;
}

void control_program::implementation::write(absl::Status const& written)
{
    if (written.ok() || this->disk_failed)
    {
        return;
    }
    log.error("The data folder failed, nothing is accepted any more: {}",
              std::string(written.message()));
    this->disk_failed = true;
    this->ended_by = written;
    this->take(control::control_disk_failed{});
    this->refuse_open_calls();
    this->wait_for_disk();
}

} // namespace bilberrylead::daemon
