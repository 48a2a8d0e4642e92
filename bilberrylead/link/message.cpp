#include "bilberrylead/link/message.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

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
};

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
    }
    return unknown_value("kind");
}

} // namespace

bytes encode(message const& content)
{
    bytes output;
    append_cbor(std::visit(message_writer{}, content), output);
    return output;
}

absl::StatusOr<message> decode(bytes const& encoded)
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

} // namespace bilberrylead::link
