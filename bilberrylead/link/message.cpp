#include "bilberrylead/link/message.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/core/packed_bytes.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <utility>

namespace bilberrylead::link
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t longest_text = 4096;

/// First field of a message. Numbers are never given a new meaning.
enum class tag : std::uint64_t
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

json with_tag(tag kind)
{
    return json::array({static_cast<std::uint64_t>(kind)});
}

/// Appends a verdict's fields to a record.
struct verdict_writer
{
    void operator()(once::claim_granted const&) const
    {
        this->put(verdict_tag::granted);
    }

    void operator()(once::claim_in_progress const&) const
    {
        this->put(verdict_tag::in_progress);
    }

    void operator()(once::claim_recorded const& verdict) const
    {
        this->put(verdict_tag::recorded);
        this->record.push_back(verdict.answer.status);
        this->record.push_back(verdict.answer.content_type);
        this->record.push_back(json::binary(verdict.answer.body));
        this->record.push_back(verdict.answer.body_dropped);
    }

    void operator()(once::claim_outcome_unknown const&) const
    {
        this->put(verdict_tag::outcome_unknown);
    }

    void operator()(once::claim_mismatch const&) const
    {
        this->put(verdict_tag::mismatch);
    }

    void operator()(once::claim_refused const& verdict) const
    {
        this->put(verdict_tag::refused);
        this->record.push_back(static_cast<std::uint64_t>(verdict.reason));
        this->record.push_back(verdict.retry_after.count());
    }

    void put(verdict_tag kind) const
    {
        this->record.push_back(static_cast<std::uint64_t>(kind));
    }

    json& record;
};

/// Turns each message into its record.
struct message_writer
{
    json operator()(replica_message const& content) const
    {
        json record = with_tag(tag::replica_message);
        record.push_back(json::binary(content.content));
        return record;
    }

    json operator()(subscription const& content) const
    {
        json record = with_tag(tag::subscription);
        record.push_back(content.in_force);
        record.push_back(content.wanted == delivery::pushed);
        return record;
    }

    json operator()(revision_announcement const& content) const
    {
        json record = with_tag(tag::revision_announcement);
        record.push_back(content.in_force);
        return record;
    }

    json operator()(configuration_update const& content) const
    {
        json record = with_tag(tag::configuration_update);
        record.push_back(content.target);
        record.push_back(content.base);
        record.push_back(json::binary(content.content));
        return record;
    }

    json operator()(registration_request const& content) const
    {
        json record = with_tag(tag::registration_request);
        record.push_back(content.incarnation);
        return record;
    }

    json operator()(registration_reply const& content) const
    {
        json record = with_tag(tag::registration_reply);
        record.push_back(content.result.accepted);
        record.push_back(content.result.incarnation);
        record.push_back(content.result.outcomes_unknown);
        return record;
    }

    json operator()(once_request const& content) const
    {
        json record = with_tag(tag::once_request);
        record.push_back(content.number);
        bytes const command = std::visit(
            [](catalog::replicated_command const& held)
            {
                return catalog::encode_command(held);
            },
            content.command);
        record.push_back(json::binary(command));
        return record;
    }

    json operator()(claim_reply const& content) const
    {
        json record = with_tag(tag::claim_reply);
        record.push_back(content.number);
        std::visit(verdict_writer{record}, content.verdict);
        return record;
    }

    json operator()(settle_reply const& content) const
    {
        json record = with_tag(tag::settle_reply);
        record.push_back(content.number);
        record.push_back(static_cast<std::uint64_t>(content.result));
        return record;
    }

    json operator()(leader_notice const& content) const
    {
        json record = with_tag(tag::leader_notice);
        record.push_back(content.leader.text());
        record.push_back(content.refused_number);
        return record;
    }

    json operator()(entry_presence const& content) const
    {
        json record = with_tag(tag::entry_presence);
        record.push_back(content.address.address);
        record.push_back(content.address.port);
        record.push_back(content.zone.text());
        record.push_back(content.region.text());
        record.push_back(content.ready);
        record.push_back(content.stopping);
        record.push_back(content.in_force);
        put_position(content.listing, record);
        record.push_back(content.demands.size());
        for (service_demand const& each : content.demands)
        {
            record.push_back(each.service.text());
            record.push_back(each.slots);
        }
        return record;
    }

    json operator()(host_place const& content) const
    {
        json record = with_tag(tag::host_place);
        record.push_back(content.zone.text());
        record.push_back(content.region.text());
        return record;
    }

    json operator()(group_news const& content) const
    {
        json record = with_tag(tag::group_news);
        record.push_back(content.entry_hosts);
        record.push_back(content.control_hosts.size());
        for (host_id const& host : content.control_hosts)
        {
            record.push_back(host.text());
        }
        return record;
    }

    json operator()(upstream_update const& content) const
    {
        json record = with_tag(tag::upstream_update);
        put_position(content.changes.base, record);
        put_position(content.changes.target, record);
        record.push_back(content.changes.whole);
        record.push_back(content.changes.put.size());
        for (discovery::told_upstream const& each : content.changes.put)
        {
            put_upstream(each, record);
        }
        record.push_back(content.changes.removed.size());
        for (upstream_id const& id : content.changes.removed)
        {
            record.push_back(id.text());
        }
        return record;
    }

    json operator()(upstream_request const& content) const
    {
        json record = with_tag(tag::upstream_request);
        put_position(content.held, record);
        return record;
    }

    json operator()(region_plan const& content) const
    {
        json record = with_tag(tag::region_plan);
        record.push_back(content.term);
        record.push_back(content.shares.size());
        for (region_share const& each : content.shares)
        {
            record.push_back(each.service.text());
            record.push_back(each.region.text());
            record.push_back(each.share);
        }
        return record;
    }

    static void put_position(discovery::list_position const& position,
                             json& record)
    {
        record.push_back(position.term);
        record.push_back(position.number);
    }

    /// Labels and connections stay out: the list knows neither.
    static void put_upstream(discovery::told_upstream const& told, json& record)
    {
        record.push_back(told.upstream.id.text());
        record.push_back(told.upstream.service.text());
        record.push_back(told.upstream.zone.text());
        record.push_back(told.upstream.address.address);
        record.push_back(told.upstream.address.port);
        record.push_back(told.upstream.slots);
        record.push_back(told.upstream.leaving);
        record.push_back(told.cold_left.count());
    }
};

discovery::list_position take_position(cbor_fields& fields)
{
    discovery::list_position position;
    position.term = fields.take_unsigned();
    position.number = fields.take_unsigned();
    return position;
}

config::endpoint take_endpoint(cbor_fields& fields)
{
    config::endpoint address;
    address.address = fields.take_text(longest_text);
    address.port = fields.take_unsigned_16();
    return address;
}

entry_presence take_presence(cbor_fields& fields)
{
    entry_presence content;
    content.address = take_endpoint(fields);
    content.zone = zone_id(fields.take_text(longest_text));
    content.region = region_id(fields.take_text(longest_text));
    content.ready = fields.take_bool();
    content.stopping = fields.take_bool();
    content.in_force = fields.take_unsigned();
    content.listing = take_position(fields);
    std::uint64_t const count = fields.take_unsigned();
    // A count beyond the record spoils it with the first missing field.
    for (std::uint64_t each = 0; each < count && fields.intact(); ++each)
    {
        service_demand demand;
        demand.service = service_id(fields.take_text(longest_text));
        demand.slots = fields.take_unsigned_32();
        content.demands.push_back(std::move(demand));
    }
    return content;
}

group_news take_group_news(cbor_fields& fields)
{
    group_news content;
    content.entry_hosts = fields.take_unsigned();
    std::uint64_t const count = fields.take_unsigned();
    for (std::uint64_t each = 0; each < count && fields.intact(); ++each)
    {
        content.control_hosts.emplace_back(fields.take_text(longest_text));
    }
    return content;
}

region_plan take_region_plan(cbor_fields& fields)
{
    region_plan content;
    content.term = fields.take_unsigned();
    std::uint64_t const count = fields.take_unsigned();
    for (std::uint64_t each = 0; each < count && fields.intact(); ++each)
    {
        region_share share;
        share.service = service_id(fields.take_text(longest_text));
        share.region = region_id(fields.take_text(longest_text));
        share.share = fields.take_unsigned_32();
        content.shares.push_back(std::move(share));
    }
    return content;
}

discovery::told_upstream take_upstream(cbor_fields& fields)
{
    discovery::told_upstream told;
    told.upstream.id = upstream_id(fields.take_text(longest_text));
    told.upstream.service = service_id(fields.take_text(longest_text));
    told.upstream.zone = zone_id(fields.take_text(longest_text));
    told.upstream.address = take_endpoint(fields);
    told.upstream.slots = fields.take_unsigned_32();
    told.upstream.leaving = fields.take_bool();
    told.cold_left = duration(fields.take_signed());
    return told;
}

upstream_update take_upstream_update(cbor_fields& fields)
{
    upstream_update content;
    content.changes.base = take_position(fields);
    content.changes.target = take_position(fields);
    content.changes.whole = fields.take_bool();
    std::uint64_t const put = fields.take_unsigned();
    for (std::uint64_t each = 0; each < put && fields.intact(); ++each)
    {
        content.changes.put.push_back(take_upstream(fields));
    }
    std::uint64_t const removed = fields.take_unsigned();
    for (std::uint64_t each = 0; each < removed && fields.intact(); ++each)
    {
        content.changes.removed.emplace_back(fields.take_text(longest_text));
    }
    return content;
}

configuration_update take_update(cbor_fields& fields)
{
    configuration_update content;
    content.target = fields.take_unsigned();
    content.base = fields.take_unsigned();
    content.content = fields.take_bytes();
    return content;
}

registration_reply take_registration(cbor_fields& fields)
{
    registration_reply content;
    content.result.accepted = fields.take_bool();
    content.result.incarnation = fields.take_unsigned();
    content.result.outcomes_unknown = fields.take_unsigned();
    return content;
}

/// The part of a replicated command that entry hosts may ask for; nothing
/// for operators' changes and the log's own time.
std::optional<once::once_command>
as_entry_command(catalog::replicated_command&& command)
{
    if (once::claim* const held = std::get_if<once::claim>(&command))
    {
        return std::move(*held);
    }
    if (once::complete* const held = std::get_if<once::complete>(&command))
    {
        return std::move(*held);
    }
    if (once::release* const held = std::get_if<once::release>(&command))
    {
        return std::move(*held);
    }
    if (once::mark_unknown* const held =
            std::get_if<once::mark_unknown>(&command))
    {
        return std::move(*held);
    }
    return std::nullopt;
}

absl::Status unknown_value(char const* what)
{
    return make_error(error_kind::bad_value,
                      std::string("A peer's message has an unknown ") + what +
                          ".",
                      "Run the same version on all hosts.");
}

absl::StatusOr<message> take_once_request(cbor_fields& fields)
{
    once_request content;
    content.number = fields.take_unsigned();
    absl::StatusOr<catalog::replicated_command> command =
        catalog::decode_command(fields.take_bytes());
    if (!command.ok())
    {
        return command.status();
    }
    std::optional<once::once_command> allowed =
        as_entry_command(std::move(*command));
    if (!allowed.has_value())
    {
        return unknown_value("command");
    }
    content.command = std::move(*allowed);
    return content;
}

std::optional<once::claim_verdict> take_verdict(cbor_fields& fields)
{
    switch (static_cast<verdict_tag>(fields.take_unsigned()))
    {
    case verdict_tag::granted:
        return once::claim_granted{};
    case verdict_tag::in_progress:
        return once::claim_in_progress{};
    case verdict_tag::recorded:
    {
        once::claim_recorded verdict;
        verdict.answer.status = fields.take_unsigned_16();
        verdict.answer.content_type = fields.take_text(longest_text);
        verdict.answer.body = fields.take_bytes();
        verdict.answer.body_dropped = fields.take_bool();
        return verdict;
    }
    case verdict_tag::outcome_unknown:
        return once::claim_outcome_unknown{};
    case verdict_tag::mismatch:
        return once::claim_mismatch{};
    case verdict_tag::refused:
    {
        once::claim_refused verdict;
        std::uint64_t const reason = fields.take_unsigned();
        std::uint64_t const last =
            static_cast<std::uint64_t>(once::claim_refusal::given_up);
        if (reason > last)
        {
            return std::nullopt;
        }
        verdict.reason = static_cast<once::claim_refusal>(reason);
        verdict.retry_after = duration(fields.take_signed());
        return verdict;
    }
    }
    return std::nullopt;
}

absl::StatusOr<message> take_claim_reply(cbor_fields& fields)
{
    claim_reply content;
    content.number = fields.take_unsigned();
    std::optional<once::claim_verdict> verdict = take_verdict(fields);
    if (!verdict.has_value())
    {
        return unknown_value("verdict");
    }
    content.verdict = std::move(*verdict);
    return content;
}

absl::StatusOr<message> take_settle_reply(cbor_fields& fields)
{
    settle_reply content;
    content.number = fields.take_unsigned();
    std::uint64_t const result = fields.take_unsigned();
    if (result > static_cast<std::uint64_t>(once::settle_result::no_record))
    {
        return unknown_value("result");
    }
    content.result = static_cast<once::settle_result>(result);
    return content;
}

absl::StatusOr<message> take_message(cbor_fields& fields)
{
    switch (static_cast<tag>(fields.take_unsigned()))
    {
    case tag::replica_message:
        return replica_message{fields.take_bytes()};
    case tag::subscription:
    {
        subscription content;
        content.in_force = fields.take_unsigned();
        content.wanted =
            fields.take_bool() ? delivery::pushed : delivery::announced;
        return content;
    }
    case tag::revision_announcement:
        return revision_announcement{fields.take_unsigned()};
    case tag::configuration_update:
        return take_update(fields);
    case tag::registration_request:
        return registration_request{fields.take_unsigned()};
    case tag::registration_reply:
        return take_registration(fields);
    case tag::once_request:
        return take_once_request(fields);
    case tag::claim_reply:
        return take_claim_reply(fields);
    case tag::settle_reply:
        return take_settle_reply(fields);
    case tag::leader_notice:
    {
        leader_notice content;
        content.leader = host_id(fields.take_text(longest_text));
        content.refused_number = fields.take_unsigned();
        return content;
    }
    case tag::entry_presence:
        return take_presence(fields);
    case tag::host_place:
    {
        host_place content;
        content.zone = zone_id(fields.take_text(longest_text));
        content.region = region_id(fields.take_text(longest_text));
        return content;
    }
    case tag::group_news:
        return take_group_news(fields);
    case tag::upstream_update:
        return take_upstream_update(fields);
    case tag::upstream_request:
        return upstream_request{take_position(fields)};
    case tag::region_plan:
        return take_region_plan(fields);
    }
    return unknown_value("kind");
}

/// A document or listing of this many bytes or more is packed: shorter ones
/// fit a packet or two.
constexpr std::size_t least_packed = 1024;
/// Longest message that is unpacked, bytes; as long as a link takes.
constexpr std::size_t longest_message = std::size_t{256} << 20U;

absl::StatusOr<message> decode_plain(bytes const& encoded)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return fields.status();
    }
    absl::StatusOr<message> content = take_message(*fields);
    if (content.ok() && !fields->complete())
    {
        return unknown_value("field");
    }
    return content;
}

} // namespace

bytes encode(message const& content)
{
    bytes output;
    append_cbor(std::visit(message_writer{}, content), output);
    bool const is_long_text =
        std::holds_alternative<configuration_update>(content) ||
        std::holds_alternative<upstream_update>(content);
    if (is_long_text && output.size() >= least_packed)
    {
        return pack(output);
    }
    return output;
}

absl::StatusOr<message> decode(bytes const& encoded)
{
    if (is_packed(encoded))
    {
        absl::StatusOr<bytes> const content = unpack(encoded, longest_message);
        return content.ok() ? decode_plain(*content) : content.status();
    }
    return decode_plain(encoded);
}

} // namespace bilberrylead::link
