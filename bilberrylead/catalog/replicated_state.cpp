#include "bilberrylead/catalog/replicated_state.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace bilberrylead::catalog
{

namespace
{

constexpr std::uint64_t snapshot_version = 1;

absl::Status damaged()
{
    return make_error(error_kind::corrupt, "The snapshot is not readable.",
                      "Let this host rejoin with an empty data folder.");
}

/// Hands each command to the part it is for.
struct command_applier
{
    catalog& accepted;
    once::once_records& records;

    replicated_outcome operator()(change_command const& command) const
    {
        return this->accepted.apply(command);
    }

    template <class Command>
    replicated_outcome operator()(Command const& command) const
    {
        return this->records.apply(command);
    }
};

} // namespace

replicated_state::replicated_state(catalog_settings const& catalog_bounds,
                                   once::once_settings const& once_bounds)
    : catalog_bounds(catalog_bounds), once_bounds(once_bounds),
      accepted(catalog_bounds), records(once_bounds)
{
}

replicated_outcome replicated_state::apply(std::uint64_t index,
                                           std::span<std::uint8_t const> record)
{
    if (index <= this->applied)
    {
        return make_error(error_kind::bad_value,
                          "A record of the log was applied before.",
                          "This is a fault of the program; report it.");
    }
    this->applied = index;
    absl::StatusOr<replicated_command> const command = decode_command(record);
    if (!command.ok())
    {
        return command.status();
    }
    return std::visit(command_applier{this->accepted, this->records}, *command);
}

std::uint64_t replicated_state::applied_index() const
{
    return this->applied;
}

catalog const& replicated_state::configurations() const
{
    return this->accepted;
}

once::once_records const& replicated_state::claims() const
{
    return this->records;
}

bytes replicated_state::encode_snapshot() const
{
    bytes output;
    bytes const accepted_bytes = this->accepted.encode();
    append_cbor(nlohmann::json::array(
                    {snapshot_version, this->applied, accepted_bytes.size()}),
                output);
    output.insert(output.end(), accepted_bytes.begin(), accepted_bytes.end());
    bytes const record_bytes = this->records.encode();
    output.insert(output.end(), record_bytes.begin(), record_bytes.end());
    return output;
}

absl::Status replicated_state::restore(std::span<std::uint8_t const> snapshot)
{
    absl::StatusOr<cbor_fields> head = cbor_fields::take(snapshot);
    if (!head.ok())
    {
        return damaged();
    }
    bool const same_version = head->take_unsigned() == snapshot_version;
    std::uint64_t const index = head->take_unsigned();
    std::uint64_t const catalog_size = head->take_unsigned();
    if (!head->complete() || !same_version || catalog_size > snapshot.size())
    {
        return damaged();
    }
    absl::StatusOr<catalog> new_accepted =
        catalog::decode(this->catalog_bounds, snapshot.first(catalog_size));
    if (!new_accepted.ok())
    {
        return new_accepted.status();
    }
    absl::StatusOr<once::once_records> new_records = once::once_records::decode(
        this->once_bounds, snapshot.subspan(catalog_size));
    if (!new_records.ok())
    {
        return new_records.status();
    }
    this->applied = index;
    this->accepted = *std::move(new_accepted);
    this->records = *std::move(new_records);
    return absl::OkStatus();
}

} // namespace bilberrylead::catalog
