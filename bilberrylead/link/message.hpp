#ifndef BILBERRYLEAD_LINK_MESSAGE_HPP
#define BILBERRYLEAD_LINK_MESSAGE_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/link/messages/claim_reply.hpp"
#include "bilberrylead/link/messages/configuration_update.hpp"
#include "bilberrylead/link/messages/crash_report.hpp"
#include "bilberrylead/link/messages/customer_shares.hpp"
#include "bilberrylead/link/messages/customer_usage_report.hpp"
#include "bilberrylead/link/messages/entry_presence.hpp"
#include "bilberrylead/link/messages/group_news.hpp"
#include "bilberrylead/link/messages/host_place.hpp"
#include "bilberrylead/link/messages/leader_notice.hpp"
#include "bilberrylead/link/messages/limit_notice.hpp"
#include "bilberrylead/link/messages/once_request.hpp"
#include "bilberrylead/link/messages/region_plan.hpp"
#include "bilberrylead/link/messages/registration_reply.hpp"
#include "bilberrylead/link/messages/registration_request.hpp"
#include "bilberrylead/link/messages/relay_host_list.hpp"
#include "bilberrylead/link/messages/replica_message.hpp"
#include "bilberrylead/link/messages/revision_announcement.hpp"
#include "bilberrylead/link/messages/settle_reply.hpp"
#include "bilberrylead/link/messages/subscription.hpp"
#include "bilberrylead/link/messages/upstream_contact_notice.hpp"
#include "bilberrylead/link/messages/upstream_request.hpp"
#include "bilberrylead/link/messages/upstream_update.hpp"

#include <absl/status/statusor.h>

#include <variant>

namespace bilberrylead::link
{

/// Everything that the system's processes tell each other.
using message =
    std::variant<replica_message, subscription, revision_announcement,
                 configuration_update, registration_request, registration_reply,
                 once_request, claim_reply, settle_reply, leader_notice,
                 entry_presence, host_place, group_news, upstream_update,
                 upstream_request, region_plan, crash_report, limit_notice,
                 customer_usage_report, customer_shares,
                 upstream_contact_notice, relay_host_list>;

/// The message as CBOR; long documents and listings are packed, since entry
/// hosts may stand behind a link of a few Mbit/s.
bytes encode(message const& content);

/// Reads a message. Any bytes may come in: what is no message is an error
/// of kind syntax or bad_value, never an exception.
absl::StatusOr<message> decode(bytes const& encoded);

} // namespace bilberrylead::link

#endif
