// The snapshot of the run-at-most-once records: a sequence of CBOR arrays,
// so that neither side ever holds a tree of the whole state.
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/once/once_records.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrylead::once
{

namespace
{

constexpr std::size_t any_length = std::numeric_limits<std::size_t>::max();
constexpr std::uint64_t snapshot_version = 3;

nlohmann::json bounds_to_json(once_settings const& bounds)
{
    return nlohmann::json::array(
        {bounds.retention.count(), bounds.spent_retention.count(),
         bounds.longest_run.count(), bounds.largest_spent_keys,
         bounds.largest_records, bounds.largest_records_per_caller,
         bounds.largest_total_bytes, bounds.largest_recorded_body,
         bounds.longest_name, bounds.largest_hosts,
         bounds.largest_time_step.count()});
}

once_settings take_bounds(cbor_fields& fields)
{
    once_settings bounds;
    bounds.retention = duration(fields.take_signed());
    bounds.spent_retention = duration(fields.take_signed());
    bounds.longest_run = duration(fields.take_signed());
    bounds.largest_spent_keys = fields.take_unsigned();
    bounds.largest_records = fields.take_unsigned();
    bounds.largest_records_per_caller = fields.take_unsigned();
    bounds.largest_total_bytes = fields.take_unsigned();
    bounds.largest_recorded_body = fields.take_unsigned();
    bounds.longest_name = fields.take_unsigned();
    bounds.largest_hosts = fields.take_unsigned();
    bounds.largest_time_step = duration(fields.take_signed());
    return bounds;
}

nlohmann::json::binary_t to_binary(work_digest const& digest)
{
    return bytes(digest.content.begin(), digest.content.end());
}

/// Reads a digest; false if the field isn't one.
bool take_digest(cbor_fields& fields, work_digest& digest)
{
    bytes const content = fields.take_bytes();
    if (content.size() != work_digest::size)
    {
        return false;
    }
    std::copy(content.begin(), content.end(), digest.content.begin());
    return true;
}

nlohmann::json record_to_json(work_digest const& key,
                              claim_record const& record)
{
    return nlohmann::json::array(
        {to_binary(key), static_cast<std::uint64_t>(record.state),
         record.body_digest, to_binary(record.request),
         record.entry_host->text(), record.incarnation,
         record.caller->first.text(), record.due.count(), record.answer.status,
         record.answer.content_type, nlohmann::json::binary(record.answer.body),
         record.answer.body_dropped});
}

nlohmann::json stretch_to_json(spent_keys::stretch const& stretch)
{
    bytes all;
    all.reserve(stretch.keys.size() * work_digest::size);
    for (work_digest const& key : stretch.keys)
    {
        all.insert(all.end(), key.content.begin(), key.content.end());
    }
    return nlohmann::json::array(
        {stretch.number, nlohmann::json::binary(std::move(all))});
}

std::optional<spent_keys::stretch> take_stretch(cbor_fields& fields)
{
    spent_keys::stretch taken;
    taken.number = fields.take_signed();
    bytes const all = fields.take_bytes();
    if (!fields.complete() || all.size() % work_digest::size != 0)
    {
        return std::nullopt;
    }
    taken.keys.resize(all.size() / work_digest::size);
    auto next = all.begin();
    for (work_digest& key : taken.keys)
    {
        std::copy_n(next, work_digest::size, key.content.begin());
        next += work_digest::size;
    }
    return taken;
}

/// A record with the names that it points to.
struct named_record
{
    work_digest key;
    host_id entry_host;
    caller_id caller;
    claim_record record;
};

absl::Status damaged()
{
    return make_error(error_kind::corrupt,
                      "The snapshot of the run-at-most-once records is not "
                      "readable.",
                      "Let this host rejoin with an empty data folder.");
}

absl::StatusOr<named_record> take_record(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
    if (!fields.ok())
    {
        return fields.status();
    }
    named_record taken;
    bool const has_key = take_digest(*fields, taken.key);
    std::uint64_t const state = fields->take_unsigned();
    taken.record.state = static_cast<claim_state>(state);
    taken.record.body_digest = fields->take_unsigned();
    bool const has_request = take_digest(*fields, taken.record.request);
    taken.entry_host = host_id(fields->take_text(any_length));
    taken.record.incarnation = fields->take_unsigned();
    taken.caller = caller_id(fields->take_text(any_length));
    taken.record.due = duration(fields->take_signed());
    taken.record.answer.status = fields->take_unsigned_16();
    taken.record.answer.content_type = fields->take_text(any_length);
    taken.record.answer.body = fields->take_bytes();
    taken.record.answer.body_dropped = fields->take_bool();
    if (!fields->complete() || !has_key || !has_request ||
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
    std::vector<spent_keys::stretch> const stretches = this->spent.all();
    nlohmann::json head = bounds_to_json(this->settings);
    head.insert(head.begin(), snapshot_version);
    head.push_back(this->now.count());
    head.push_back(this->incarnations.size());
    head.push_back(stretches.size());
    head.push_back(this->given_up.all().size());
    head.push_back(this->records.size());
    append_cbor(head, output);
    for (auto const& [host, incarnation] : this->incarnations)
    {
        append_cbor(nlohmann::json::array({host.text(), incarnation}), output);
    }
    for (spent_keys::stretch const& stretch : stretches)
    {
        append_cbor(stretch_to_json(stretch), output);
    }
    for (given_up_requests::mark const& mark : this->given_up.all())
    {
        append_cbor(
            nlohmann::json::array({mark.due.count(), to_binary(mark.request)}),
            output);
    }
    for (auto const& [key, record] : this->records)
    {
        append_cbor(record_to_json(key, record), output);
    }
    return output;
}

absl::Status once_records::take_hosts(std::uint64_t hosts,
                                      std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < hosts; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return damaged();
        }
        host_id const host(fields->take_text(any_length));
        this->incarnations[host] = fields->take_unsigned();
        if (!fields->complete())
        {
            return damaged();
        }
    }
    return absl::OkStatus();
}

absl::Status once_records::take_spent(std::uint64_t stretches,
                                      std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < stretches; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return damaged();
        }
        std::optional<spent_keys::stretch> taken = take_stretch(*fields);
        if (!taken.has_value() || !this->spent.restore(*std::move(taken)))
        {
            return damaged();
        }
    }
    return absl::OkStatus();
}

absl::Status once_records::take_given_up(std::uint64_t number,
                                         std::span<std::uint8_t const>& input)
{
    duration newest{};
    for (std::uint64_t i = 0; i < number; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return damaged();
        }
        duration const due(fields->take_signed());
        work_digest request;
        bool const has_request = take_digest(*fields, request);
        if (!has_request || !fields->complete() || due < newest)
        {
            return damaged();
        }
        newest = due;
        this->given_up.add(request, due);
    }
    return absl::OkStatus();
}

absl::Status once_records::take_records(std::uint64_t number,
                                        std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < number; ++i)
    {
        absl::StatusOr<named_record> taken = take_record(input);
        if (!taken.ok() || this->records.contains(taken->key))
        {
            return damaged();
        }
        this->insert(taken->key, taken->caller, taken->entry_host,
                     std::move(taken->record));
    }
    return absl::OkStatus();
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
    std::uint64_t const stretches = head->take_unsigned();
    std::uint64_t const given_up = head->take_unsigned();
    std::uint64_t const number = head->take_unsigned();
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
    absl::Status status = state.take_hosts(hosts, input);
    if (status.ok())
    {
        status = state.take_spent(stretches, input);
    }
    if (status.ok())
    {
        status = state.take_given_up(given_up, input);
    }
    if (status.ok())
    {
        status = state.take_records(number, input);
    }
    if (status.ok() && !input.empty())
    {
        status = damaged();
    }
    if (!status.ok())
    {
        return status;
    }
    return state;
}

} // namespace bilberrylead::once
