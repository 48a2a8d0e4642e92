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

constexpr std::uint64_t snapshot_version = 2;
/// The first version, which held no orders.
constexpr std::uint64_t version_without_orders = 1;

absl::Status damaged()
{
    return make_error(error_kind::corrupt, "The snapshot is not readable.",
                      "Let this host rejoin with an empty data folder.");
}

/// Hands each command to the part it is for.
struct command_applier
{
    catalog& accepted;
    accepted_orders& ordered;
    once::once_records& records;

    replicated_outcome operator()(change_command const& command) const
    {
        return this->accepted.apply(command);
    }

    replicated_outcome operator()(put_configuration const& command) const
    {
        return this->ordered.apply(command);
    }

    replicated_outcome operator()(close_zone const& command) const
    {
        return this->ordered.apply(command);
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
    return std::visit(
        command_applier{this->accepted, this->ordered, this->records},
        *command);
}

std::uint64_t replicated_state::applied_index() const
{
    return this->applied;
}

catalog const& replicated_state::configurations() const
{
    return this->accepted;
}

accepted_orders const& replicated_state::orders() const
{
    return this->ordered;
}

once::once_records const& replicated_state::claims() const
{
    return this->records;
}

bytes replicated_state::encode_snapshot() const
{
    bytes output;
    bytes const accepted_bytes = this->accepted.encode();
    bytes const order_bytes = this->ordered.encode();
    append_cbor(
        nlohmann::json::array({snapshot_version, this->applied,
                               accepted_bytes.size(), order_bytes.size()}),
        output);
    output.insert(output.end(), accepted_bytes.begin(), accepted_bytes.end());
    output.insert(output.end(), order_bytes.begin(), order_bytes.end());
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
    std::uint64_t const version = head->take_unsigned();
    bool const has_orders = version == snapshot_version;
    std::uint64_t const index = head->take_unsigned();
    std::uint64_t const catalog_size = head->take_unsigned();
    std::uint64_t const order_size = has_orders ? head->take_unsigned() : 0;
    bool const known = has_orders || version == version_without_orders;
    if (!head->complete() || !known || catalog_size > snapshot.size() ||
        order_size > snapshot.size() - catalog_size)
    {
        return damaged();
    }
    absl::StatusOr<catalog> new_accepted =
        catalog::decode(this->catalog_bounds, snapshot.first(catalog_size));
    if (!new_accepted.ok())
    {
        return new_accepted.status();
    }
    absl::StatusOr<accepted_orders> new_orders;
    if (has_orders)
    {
        new_orders =
            accepted_orders::decode(snapshot.subspan(catalog_size, order_size));
    }
    else
    {
        new_orders = accepted_orders();
    }
    if (!new_orders.ok())
    {
        return new_orders.status();
    }
    absl::StatusOr<once::once_records> new_records = once::once_records::decode(
        this->once_bounds, snapshot.subspan(catalog_size + order_size));
    if (!new_records.ok())
    {
        return new_records.status();
    }
    this->applied = index;
    this->accepted = *std::move(new_accepted);
    this->ordered = *std::move(new_orders);
    this->records = *std::move(new_records);
    return absl::OkStatus();
}

} // namespace bilberrylead::catalog
