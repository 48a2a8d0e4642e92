#ifndef BILBERRYLEAD_AGREEMENT_EVENT_HPP
#define BILBERRYLEAD_AGREEMENT_EVENT_HPP

#include "bilberrylead/agreement/events/commit_announcement_requested.hpp"
#include "bilberrylead/agreement/events/disk_failed.hpp"
#include "bilberrylead/agreement/events/handover_requested.hpp"
#include "bilberrylead/agreement/events/membership_change_requested.hpp"
#include "bilberrylead/agreement/events/message_received.hpp"
#include "bilberrylead/agreement/events/propose.hpp"
#include "bilberrylead/agreement/events/read_requested.hpp"
#include "bilberrylead/agreement/events/snapshot_taken.hpp"
#include "bilberrylead/agreement/events/started.hpp"
#include "bilberrylead/agreement/events/tick.hpp"

#include <variant>

namespace bilberrylead::agreement
{

/// An input to replica::reduce.
using event =
    std::variant<started, tick, message_received, propose, read_requested,
                 membership_change_requested, handover_requested,
                 snapshot_taken, disk_failed, commit_announcement_requested>;

} // namespace bilberrylead::agreement

#endif
