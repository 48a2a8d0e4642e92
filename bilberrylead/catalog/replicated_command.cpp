#include "bilberrylead/catalog/replicated_command.hpp"

#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace bilberrylead::catalog
{

namespace
{

/// Longest name, id or key in a record, bytes. Above what the state
/// machines keep, so that they can refuse with their own reason.
constexpr std::size_t longest_text = 4096;

/// First field of a record. Numbers are never given a new meaning.
enum class command_tag : std::uint64_t
{
    change = 1,
    claim = 2,
    complete = 3,
    release = 4,
    mark_unknown = 5,
    register_entry_host = 6,
    advance_time = 7,
    put_configuration = 8,
    close_zone = 9,
};

nlohmann::json with_tag(command_tag tag)
{
    return nlohmann::json::array({static_cast<std::uint64_t>(tag)});
}

void put_key(once::claim_key const& key, nlohmann::json& record)
{
    record.push_back(key.service.text());
    record.push_back(key.caller.text());
    record.push_back(key.idempotency_key);
}

once::claim_key take_key(cbor_fields& fields)
{
    once::claim_key key;
    key.service = service_id(fields.take_text(longest_text));
    key.caller = caller_id(fields.take_text(longest_text));
    key.idempotency_key = fields.take_text(longest_text);
    return key;
}

/// Turns each command into its record.
struct command_writer
{
    nlohmann::json operator()(change_command const& command) const
    {
        nlohmann::json record = with_tag(command_tag::change);
        record.push_back(command.change.text());
        record.push_back(command.base_revision);
        record.push_back(command.operator_name);
        record.push_back(command.accepted_at.time_since_epoch().count());
        record.push_back(nlohmann::json::binary(command.document));
        return record;
    }

    nlohmann::json operator()(once::claim const& command) const
    {
        nlohmann::json record = with_tag(command_tag::claim);
        put_key(command.key, record);
        record.push_back(command.body_digest);
        record.push_back(command.request.text());
        record.push_back(command.entry_host.text());
        record.push_back(command.incarnation);
        return record;
    }

    nlohmann::json operator()(once::complete const& command) const
    {
        nlohmann::json record = with_tag(command_tag::complete);
        put_key(command.key, record);
        record.push_back(command.request.text());
        record.push_back(command.answer.status);
        record.push_back(command.answer.content_type);
        record.push_back(nlohmann::json::binary(command.answer.body));
        record.push_back(command.answer.body_dropped);
        return record;
    }

    nlohmann::json operator()(once::release const& command) const
    {
        nlohmann::json record = with_tag(command_tag::release);
        put_key(command.key, record);
        record.push_back(command.request.text());
        return record;
    }

    nlohmann::json operator()(once::mark_unknown const& command) const
    {
        nlohmann::json record = with_tag(command_tag::mark_unknown);
        put_key(command.key, record);
        record.push_back(command.request.text());
        return record;
    }

    nlohmann::json operator()(once::register_entry_host const& command) const
    {
        nlohmann::json record = with_tag(command_tag::register_entry_host);
        record.push_back(command.entry_host.text());
        record.push_back(command.incarnation);
        return record;
    }

    nlohmann::json operator()(once::advance_time const& command) const
    {
        nlohmann::json record = with_tag(command_tag::advance_time);
        record.push_back(command.elapsed.count());
        return record;
    }

    nlohmann::json operator()(put_configuration const& command) const
    {
        nlohmann::json record = with_tag(command_tag::put_configuration);
        record.push_back(command.version);
        record.push_back(nlohmann::json::binary(command.document));
        return record;
    }

    nlohmann::json operator()(close_zone const& command) const
    {
        nlohmann::json record = with_tag(command_tag::close_zone);
        record.push_back(command.zone.text());
        record.push_back(command.closed);
        return record;
    }
};

change_command take_change(cbor_fields& fields)
{
    change_command command;
    command.change = change_id(fields.take_text(longest_text));
    command.base_revision = fields.take_unsigned();
    command.operator_name = fields.take_text(longest_text);
    command.accepted_at =
        wall_time(std::chrono::milliseconds(fields.take_signed()));
    command.document = fields.take_bytes();
    return command;
}

once::claim take_claim(cbor_fields& fields)
{
    once::claim command;
    command.key = take_key(fields);
    command.body_digest = fields.take_unsigned();
    command.request = request_id(fields.take_text(longest_text));
    command.entry_host = host_id(fields.take_text(longest_text));
    command.incarnation = fields.take_unsigned();
    return command;
}

once::complete take_complete(cbor_fields& fields)
{
    once::complete command;
    command.key = take_key(fields);
    command.request = request_id(fields.take_text(longest_text));
    command.answer.status = fields.take_unsigned_16();
    command.answer.content_type = fields.take_text(longest_text);
    command.answer.body = fields.take_bytes();
    command.answer.body_dropped = fields.take_bool();
    return command;
}

/// A command that names a key and the request that holds it, no more.
template <class Command>
Command take_keyed(cbor_fields& fields)
{
    Command command;
    command.key = take_key(fields);
    command.request = request_id(fields.take_text(longest_text));
    return command;
}

absl::StatusOr<replicated_command> take_command(cbor_fields& fields)
{
    switch (static_cast<command_tag>(fields.take_unsigned()))
    {
    case command_tag::change:
        return take_change(fields);
    case command_tag::claim:
        return take_claim(fields);
    case command_tag::complete:
        return take_complete(fields);
    case command_tag::release:
        return take_keyed<once::release>(fields);
    case command_tag::mark_unknown:
        return take_keyed<once::mark_unknown>(fields);
    case command_tag::register_entry_host:
    {
        once::register_entry_host command;
        command.entry_host = host_id(fields.take_text(longest_text));
        command.incarnation = fields.take_unsigned();
        return command;
    }
    case command_tag::advance_time:
        return once::advance_time{duration(fields.take_signed())};
    case command_tag::put_configuration:
    {
        put_configuration command;
        command.version = fields.take_unsigned();
        command.document = fields.take_bytes();
        return command;
    }
    case command_tag::close_zone:
    {
        close_zone command;
        command.zone = zone_id(fields.take_text(longest_text));
        command.closed = fields.take_bool();
        return command;
    }
    }
    return make_error(error_kind::bad_value,
                      "The log holds a command that this version does not "
                      "know.",
                      "Run the same version on all control hosts.");
}

} // namespace

bytes encode_command(replicated_command const& command)
{
    bytes output;
    append_cbor(std::visit(command_writer{}, command), output);
    return output;
}

absl::StatusOr<replicated_command>
decode_command(std::span<std::uint8_t const> record)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(record);
    if (!fields.ok())
    {
        return fields.status();
    }
    absl::StatusOr<replicated_command> command = take_command(*fields);
    if (command.ok() && !fields->complete())
    {
        return make_error(error_kind::bad_value,
                          "A command in the log has a field of the wrong "
                          "type, size or number.",
                          "Run the same version on all control hosts.");
    }
    return command;
}

} // namespace bilberrylead::catalog
