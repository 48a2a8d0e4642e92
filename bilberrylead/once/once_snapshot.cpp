// The snapshot of the run-at-most-once records is a sequence of CBOR arrays,
// so that neither encoder nor decoder builds a tree of the complete state.
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

constexpr std::size_t unlimited_length =
    std::numeric_limits<std::size_t>::max();
constexpr std::uint64_t snapshot_version = 3;

nlohmann::json bounds_to_json(once_settings const& bounds)
{
    return nlohmann::json::array(
        {bounds.retention.count(), bounds.spent_retention.count(),
         bounds.max_run_time.count(), bounds.max_spent_keys, bounds.max_records,
         bounds.max_records_per_caller, bounds.max_total_answer_bytes,
         bounds.max_answer_body_bytes, bounds.max_name_bytes, bounds.max_hosts,
         bounds.max_time_step.count()});
}

once_settings read_bounds(cbor_fields& fields)
{
    once_settings bounds;
    bounds.retention = duration(fields.take_signed());
    bounds.spent_retention = duration(fields.take_signed());
    bounds.max_run_time = duration(fields.take_signed());
    bounds.max_spent_keys = fields.take_unsigned();
    bounds.max_records = fields.take_unsigned();
    bounds.max_records_per_caller = fields.take_unsigned();
    bounds.max_total_answer_bytes = fields.take_unsigned();
    bounds.max_answer_body_bytes = fields.take_unsigned();
    bounds.max_name_bytes = fields.take_unsigned();
    bounds.max_hosts = fields.take_unsigned();
    bounds.max_time_step = duration(fields.take_signed());
    return bounds;
}

nlohmann::json::binary_t to_binary(work_digest const& digest)
{
    return bytes(digest.content.begin(), digest.content.end());
}

/// Reads a digest; returns false if the field has another size.
bool read_digest(cbor_fields& fields, work_digest& digest)
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
         record.caller->first.text(), record.expires_at.count(),
         record.answer.status, record.answer.content_type,
         nlohmann::json::binary(record.answer.body),
         record.answer.body_dropped});
}

nlohmann::json bucket_to_json(spent_keys::bucket const& bucket)
{
    bytes keys;
    keys.reserve(bucket.keys.size() * work_digest::size);
    for (work_digest const& key : bucket.keys)
    {
        keys.insert(keys.end(), key.content.begin(), key.content.end());
    }
    return nlohmann::json::array(
        {bucket.number, nlohmann::json::binary(std::move(keys))});
}

std::optional<spent_keys::bucket> read_bucket(cbor_fields& fields)
{
    spent_keys::bucket result;
    result.number = fields.take_signed();
    bytes const keys = fields.take_bytes();
    if (!fields.complete() || keys.size() % work_digest::size != 0)
    {
        return std::nullopt;
    }
    result.keys.resize(keys.size() / work_digest::size);
    auto next = keys.begin();
    for (work_digest& key : result.keys)
    {
        std::copy_n(next, work_digest::size, key.content.begin());
        next += work_digest::size;
    }
    return result;
}

/// A record with the key and names that once_records::insert() needs.
struct named_record
{
    work_digest key;
    host_id entry_host;
    caller_id caller;
    claim_record record;
};

absl::Status corrupt_snapshot()
{
    return make_error(error_kind::corrupt,
                      "The snapshot of the run-at-most-once records is "
                      "corrupt.",
                      "Let this host rejoin with an empty data folder.");
}

absl::StatusOr<named_record> read_record(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
    if (!fields.ok())
    {
        return fields.status();
    }
    named_record result;
    bool const has_key = read_digest(*fields, result.key);
    std::uint64_t const state = fields->take_unsigned();
    result.record.state = static_cast<claim_state>(state);
    result.record.body_digest = fields->take_unsigned();
    bool const has_request = read_digest(*fields, result.record.request);
    result.entry_host = host_id(fields->take_text(unlimited_length));
    result.record.incarnation = fields->take_unsigned();
    result.caller = caller_id(fields->take_text(unlimited_length));
    result.record.expires_at = duration(fields->take_signed());
    result.record.answer.status = fields->take_unsigned_16();
    result.record.answer.content_type = fields->take_text(unlimited_length);
    result.record.answer.body = fields->take_bytes();
    result.record.answer.body_dropped = fields->take_bool();
    if (!fields->complete() || !has_key || !has_request ||
        state > static_cast<std::uint64_t>(claim_state::released))
    {
        return corrupt_snapshot();
    }
    return result;
}

} // namespace

bytes once_records::encode() const
{
    bytes output;
    std::vector<spent_keys::bucket> const buckets = this->spent.buckets();
    nlohmann::json header = bounds_to_json(this->settings);
    header.insert(header.begin(), snapshot_version);
    header.push_back(this->now.count());
    header.push_back(this->incarnations.size());
    header.push_back(buckets.size());
    header.push_back(this->abandoned.all().size());
    header.push_back(this->records.size());
    append_cbor(header, output);
    for (auto const& [host, incarnation] : this->incarnations)
    {
        append_cbor(nlohmann::json::array({host.text(), incarnation}), output);
    }
    for (spent_keys::bucket const& bucket : buckets)
    {
        append_cbor(bucket_to_json(bucket), output);
    }
    for (abandoned_requests::entry const& entry : this->abandoned.all())
    {
        append_cbor(nlohmann::json::array(
                        {entry.expires_at.count(), to_binary(entry.request)}),
                    output);
    }
    for (auto const& [key, record] : this->records)
    {
        append_cbor(record_to_json(key, record), output);
    }
    return output;
}

absl::Status once_records::decode_hosts(std::uint64_t count,
                                        std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < count; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return corrupt_snapshot();
        }
        host_id const host(fields->take_text(unlimited_length));
        this->incarnations[host] = fields->take_unsigned();
        if (!fields->complete())
        {
            return corrupt_snapshot();
        }
    }
    return absl::OkStatus();
}

absl::Status
once_records::decode_spent_keys(std::uint64_t count,
                                std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < count; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return corrupt_snapshot();
        }
        std::optional<spent_keys::bucket> result = read_bucket(*fields);
        if (!result.has_value() || !this->spent.restore(*std::move(result)))
        {
            return corrupt_snapshot();
        }
    }
    return absl::OkStatus();
}

absl::Status
once_records::decode_abandoned(std::uint64_t count,
                               std::span<std::uint8_t const>& input)
{
    duration last_expires_at{};
    for (std::uint64_t i = 0; i < count; ++i)
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
        if (!fields.ok())
        {
            return corrupt_snapshot();
        }
        duration const expires_at(fields->take_signed());
        work_digest request;
        bool const has_request = read_digest(*fields, request);
        if (!has_request || !fields->complete() || expires_at < last_expires_at)
        {
            return corrupt_snapshot();
        }
        last_expires_at = expires_at;
        this->abandoned.add(request, expires_at);
    }
    return absl::OkStatus();
}

absl::Status once_records::decode_records(std::uint64_t count,
                                          std::span<std::uint8_t const>& input)
{
    for (std::uint64_t i = 0; i < count; ++i)
    {
        absl::StatusOr<named_record> result = read_record(input);
        if (!result.ok() || this->records.contains(result->key))
        {
            return corrupt_snapshot();
        }
        this->insert(result->key, result->caller, result->entry_host,
                     std::move(result->record));
    }
    return absl::OkStatus();
}

absl::StatusOr<once_records>
once_records::decode(once_settings const& bounds,
                     std::span<std::uint8_t const> input)
{
    absl::StatusOr<cbor_fields> header = cbor_fields::take(input);
    if (!header.ok())
    {
        return corrupt_snapshot();
    }
    bool const is_same_version = header->take_unsigned() == snapshot_version;
    once_settings const built_with = read_bounds(*header);
    once_records state(bounds);
    state.now = duration(header->take_signed());
    std::uint64_t const host_count = header->take_unsigned();
    std::uint64_t const bucket_count = header->take_unsigned();
    std::uint64_t const abandoned_count = header->take_unsigned();
    std::uint64_t const record_count = header->take_unsigned();
    if (!header->complete() || !is_same_version)
    {
        return corrupt_snapshot();
    }
    if (built_with != bounds)
    {
        return make_error(error_kind::bad_value,
                          "The snapshot was built with other bounds of the "
                          "run-at-most-once records.",
                          "Run the same version on all control hosts.");
    }
    absl::Status status = state.decode_hosts(host_count, input);
    if (status.ok())
    {
        status = state.decode_spent_keys(bucket_count, input);
    }
    if (status.ok())
    {
        status = state.decode_abandoned(abandoned_count, input);
    }
    if (status.ok())
    {
        status = state.decode_records(record_count, input);
    }
    if (status.ok() && !input.empty())
    {
        status = corrupt_snapshot();
    }
    if (!status.ok())
    {
        return status;
    }
    return state;
}

} // namespace bilberrylead::once
