#ifndef BILBERRYLEAD_LINK_MESSAGE_TAG_HPP
#define BILBERRYLEAD_LINK_MESSAGE_TAG_HPP

#include <cstdint>

namespace bilberrylead::link
{

/// First field of a message. Numbers are never given a new meaning.
enum class message_tag : std::uint64_t
{
    replica_message = 1,
    subscription = 2,
    revision_announcement = 3,
    configuration_update = 4,
    registration_request = 5,
    registration_reply = 6,
    once_request = 7,
    claim_reply = 8,
    settle_reply = 9,
    leader_notice = 10,
    entry_presence = 11,
    host_place = 12,
    group_news = 13,
    upstream_update = 14,
    upstream_request = 15,
    region_plan = 16,
    crash_report = 17,
    limit_notice = 18,
    customer_usage_report = 19,
    customer_shares = 20,
    upstream_contact_notice = 21,
    relay_host_list = 22,
};

/// First field of a claim_reply's verdict.
enum class verdict_tag : std::uint64_t
{
    granted = 1,
    in_progress = 2,
    recorded = 3,
    outcome_unknown = 4,
    mismatch = 5,
    refused = 6,
};

} // namespace bilberrylead::link

#endif
