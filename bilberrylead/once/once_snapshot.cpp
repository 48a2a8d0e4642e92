// The snapshot of the run-at-most-once records: a sequence of CBOR arrays,
// so that neither side ever holds a tree of the whole state.
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/once/once_records.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>

namespace bilberrylead::once
{

namespace
{

constexpr std::uint64_t snapshot_version = 1;
constexpr std::size_t any_length = std::numeric_limits<std::size_t>::max();

nlohmann::json bounds_to_json(once_settings const& bounds)
{
    return nlohmann::json::array(
        {bounds.retention.count(), bounds.longest_run.count(),
         bounds.largest_records, bounds.largest_records_per_caller,
         bounds.largest_total_bytes, bounds.largest_recorded_body,
         bounds.longest_name, bounds.largest_hosts,
         bounds.largest_time_step.count()});
}

once_settings take_bounds(cbor_fields& fields)
{
    once_settings bounds;
    bounds.retention = duration(fields.take_signed());
    bounds.longest_run = duration(fields.take_signed());
    bounds.largest_records = fields.take_unsigned();
    bounds.largest_records_per_caller = fields.take_unsigned();
    bounds.largest_total_bytes = fields.take_unsigned();
    bounds.largest_recorded_body = fields.take_unsigned();
    bounds.longest_name = fields.take_unsigned();
    bounds.largest_hosts = fields.take_unsigned();
    bounds.largest_time_step = duration(fields.take_signed());
    return bounds;
}

nlohmann::json record_to_json(claim_key const& key, claim_record const& record)
{
    return nlohmann::json::array(
        {key.service.text(), key.caller.text(), key.idempotency_key,
         static_cast<std::uint64_t>(record.state), record.body_digest,
         record.request.text(), record.entry_host.text(), record.incarnation,
         record.due.count(), record.answer.status, record.answer.content_type,
         nlohmann::json::binary(record.answer.body),
         record.answer.body_dropped});
}

struct keyed_record
{
    claim_key key;
    claim_record record;
};

absl::Status damaged()
{
    return make_error(error_kind::corrupt,
                      "The snapshot of the run-at-most-once records is not "
                      "readable.",
                      "Let this host rejoin with an empty data folder.");
}

absl::StatusOr<keyed_record> take_record(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
    if (!fields.ok())
    {
        return fields.status();
    }
    keyed_record taken;
    taken.key.service = service_id(fields->take_text(any_length));
    taken.key.caller = caller_id(fields->take_text(any_length));
    taken.key.idempotency_key = fields->take_text(any_length);
    std::uint64_t const state = fields->take_unsigned();
    taken.record.state = static_cast<claim_state>(state);
    taken.record.body_digest = fields->take_unsigned();
    taken.record.request = request_id(fields->take_text(any_length));
    taken.record.entry_host = host_id(fields->take_text(any_length));
    taken.record.incarnation = fields->take_unsigned();
    taken.record.due = duration(fields->take_signed());
    taken.record.answer.status =
        static_cast<std::uint16_t>(fields->take_unsigned());
    taken.record.answer.content_type = fields->take_text(any_length);
    taken.record.answer.body = fields->take_bytes();
    taken.record.answer.body_dropped = fields->take_bool();
    if (!fields->complete() ||
        state > static_cast<std::uint64_t>(claim_state::released))
    {
        return damaged();
    }
    return taken;
}

} // namespace

bytes once_records::encode() const
{
    bytes output;
    nlohmann::json head = bounds_to_json(this->settings);
    head.insert(head.begin(), snapshot_version);
    head.push_back(this->now.count());
    head.push_back(this->incarnations.size());
    head.push_back(this->records.size());
    append_cbor(head, output);
    for (auto const& [host, incarnation] : this->incarnations)
    {
        append_cbor(nlohmann::json::array({host.text(), incarnation}), output);
    }
    for (auto const& [key, record] : this->records)
    {
        append_cbor(record_to_json(key, record), output);
    }
    return output;
}

absl::StatusOr<once_records>
once_records::decode(once_settings const& bounds,
                     std::span<std::uint8_t const> input)
{
    absl::StatusOr<cbor_fields> head = cbor_fields::take(input);
    if (!head.ok())
    {
        return damaged();
    }
    bool const same_version = head->take_unsigned() == snapshot_version;
    once_settings const built_with = take_bounds(*head);
    once_records state(bounds);
    state.now = duration(head->take_signed());
    std::uint64_t const hosts = head->take_unsigned();
    std::uint64_t const count = head->take_unsigned();
    if (!head->complete() || !same_version)
    {
        return damaged();
    }
    if (built_with != bounds)
    {
        return make_error(error_kind::bad_value,
                          "The snapshot was built with other bounds of the "
                          "run-at-most-once records.",
                          "Run the same version on all control hosts.");
    }
    for (std::uint64_t i = 0; i < hosts; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return damaged();
        }
        host_id const host(fields->take_text(any_length));
        state.incarnations[host] = fields->take_unsigned();
        if (!fields->complete())
        {
            return damaged();
        }
    }
    for (std::uint64_t i = 0; i < count; ++i)
    {
        absl::StatusOr<keyed_record> taken = take_record(input);
        if (!taken.ok() || state.records.contains(taken->key))
        {
            return damaged();
        }
        state.insert(taken->key, std::move(taken->record));
    }
    if (!input.empty())
    {
        return damaged();
    }
    return state;
}

} // namespace bilberrylead::once
