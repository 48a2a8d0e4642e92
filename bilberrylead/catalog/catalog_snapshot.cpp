// The snapshot of the catalog: a sequence of CBOR arrays, so that neither
// side ever holds a tree of the whole state.
#include "bilberrylead/catalog/catalog.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace bilberrylead::catalog
{

namespace
{

constexpr std::uint64_t snapshot_version = 1;
constexpr std::size_t any_length = std::numeric_limits<std::size_t>::max();

/// How a result stands in the snapshot: kind, revision, winner, operator.
struct flat_result
{
    std::uint64_t kind = 0;
    revision number = 0;
    std::string winner;
    std::string winner_operator;
};

flat_result flatten(change_outcome const& result)
{
    flat_result flat;
    flat.kind = result.index();
    if (change_accepted const* accepted = std::get_if<change_accepted>(&result))
    {
        flat.number = accepted->accepted;
    }
    if (change_conflict const* conflict = std::get_if<change_conflict>(&result))
    {
        flat.number = conflict->current;
        flat.winner = conflict->winner.text();
        flat.winner_operator = conflict->winner_operator;
    }
    return flat;
}

std::optional<change_outcome> unflatten(flat_result flat)
{
    switch (flat.kind)
    {
    case 0:
        return change_accepted{flat.number};
    case 1:
        return change_conflict{flat.number, change_id(std::move(flat.winner)),
                               std::move(flat.winner_operator)};
    case 3:
        return change_id_reused{};
    default:
        return std::nullopt;
    }
}

nlohmann::json entry_to_json(audit_entry const& entry)
{
    flat_result const flat = flatten(entry.result);
    return nlohmann::json::array(
        {entry.number, entry.change.text(), entry.operator_name,
         entry.accepted_at.time_since_epoch().count(), entry.base_revision,
         entry.document_digest, entry.document_bytes, flat.kind, flat.number,
         flat.winner, flat.winner_operator});
}

absl::Status damaged()
{
    return make_error(error_kind::corrupt,
                      "The snapshot of the catalog is not readable.",
                      "Let this host rejoin with an empty data folder.");
}

absl::StatusOr<audit_entry> take_entry(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
    if (!fields.ok())
    {
        return damaged();
    }
    audit_entry entry;
    entry.number = fields->take_unsigned();
    entry.change = change_id(fields->take_text(any_length));
    entry.operator_name = fields->take_text(any_length);
    entry.accepted_at =
        wall_time(std::chrono::milliseconds(fields->take_signed()));
    entry.base_revision = fields->take_unsigned();
    entry.document_digest = fields->take_unsigned();
    entry.document_bytes = fields->take_unsigned();
    flat_result flat;
    flat.kind = fields->take_unsigned();
    flat.number = fields->take_unsigned();
    flat.winner = fields->take_text(any_length);
    flat.winner_operator = fields->take_text(any_length);
    std::optional<change_outcome> result = unflatten(std::move(flat));
    if (!fields->complete() || !result.has_value())
    {
        return damaged();
    }
    entry.result = *std::move(result);
    return entry;
}

absl::StatusOr<stored_revision>
take_revision(std::span<std::uint8_t const>& input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::take(input);
    if (!fields.ok())
    {
        return damaged();
    }
    stored_revision taken;
    taken.number = fields->take_unsigned();
    taken.change = change_id(fields->take_text(any_length));
    taken.document = fields->take_bytes();
    if (!fields->complete())
    {
        return damaged();
    }
    return taken;
}

} // namespace

bytes catalog::encode() const
{
    bytes output;
    append_cbor(nlohmann::json::array(
                    {snapshot_version, this->settings.audit_window,
                     this->settings.kept_revisions, this->settings.kept_bytes,
                     this->latest, this->audited, this->revisions.size(),
                     this->trail.size()}),
                output);
    for (stored_revision const& stored : this->revisions)
    {
        append_cbor(
            nlohmann::json::array({stored.number, stored.change.text(),
                                   nlohmann::json::binary(stored.document)}),
            output);
    }
    for (audit_entry const& entry : this->trail)
    {
        append_cbor(entry_to_json(entry), output);
    }
    return output;
}

absl::StatusOr<catalog> catalog::decode(catalog_settings const& bounds,
                                        std::span<std::uint8_t const> input)
{
    absl::StatusOr<cbor_fields> head = cbor_fields::take(input);
    if (!head.ok())
    {
        return damaged();
    }
    bool const same_version = head->take_unsigned() == snapshot_version;
    catalog_settings built_with;
    built_with.audit_window = head->take_unsigned();
    built_with.kept_revisions = head->take_unsigned();
    built_with.kept_bytes = head->take_unsigned();
    catalog state(bounds);
    state.latest = head->take_unsigned();
    state.audited = head->take_unsigned();
    std::uint64_t const revision_count = head->take_unsigned();
    std::uint64_t const entry_count = head->take_unsigned();
    if (!head->complete() || !same_version)
    {
        return damaged();
    }
    if (built_with != bounds)
    {
        return make_error(error_kind::bad_value,
                          "The snapshot was built with other bounds of the "
                          "catalog.",
                          "Run the same version on all control hosts.");
    }

    // Look-ups reckon with numbers that grow by one up to the latest.
    for (std::uint64_t left = revision_count; left > 0; --left)
    {
        absl::StatusOr<stored_revision> taken = take_revision(input);
        if (!taken.ok() || taken->number + left != state.latest + 1)
        {
            return damaged();
        }
        state.document_bytes += taken->document.size();
        state.revisions.push_back(*std::move(taken));
    }
    for (std::uint64_t left = entry_count; left > 0; --left)
    {
        absl::StatusOr<audit_entry> const taken = take_entry(input);
        if (!taken.ok() || taken->number + left != state.audited + 1)
        {
            return damaged();
        }
        state.remember(*taken);
    }
    if (!input.empty())
    {
        return damaged();
    }
    return state;
}

} // namespace bilberrylead::catalog
