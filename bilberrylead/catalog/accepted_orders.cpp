#include "bilberrylead/catalog/accepted_orders.hpp"

#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace bilberrylead::catalog
{

namespace
{

constexpr std::size_t longest_name = 4096;

} // namespace

order_outcome accepted_orders::apply(put_configuration const& command)
{
    // Operators race and resend: whatever comes late must not bring back
    // what a newer version replaced, nor change what a version says.
    if (command.version <= this->held_version)
    {
        return order_outcome::nothing_to_do;
    }
    this->held_version = command.version;
    this->held_document = command.document;
    ++this->latest;
    return order_outcome::taken;
}

order_outcome accepted_orders::apply(close_zone const& command)
{
    bool const changed = command.closed
                             ? this->closed.insert(command.zone).second
                             : this->closed.erase(command.zone) > 0;
    if (!changed)
    {
        return order_outcome::nothing_to_do;
    }
    ++this->latest;
    return order_outcome::taken;
}

bytes accepted_orders::encode() const
{
    nlohmann::json record = nlohmann::json::array(
        {this->latest, this->held_version,
         nlohmann::json::binary(this->held_document), this->closed.size()});
    for (zone_id const& zone : this->closed)
    {
        record.push_back(zone.text());
    }
    bytes output;
    append_cbor(record, output);
    return output;
}

absl::StatusOr<accepted_orders>
accepted_orders::decode(std::span<std::uint8_t const> input)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(input);
    if (!fields.ok())
    {
        return fields.status();
    }
    accepted_orders orders;
    orders.latest = fields->take_unsigned();
    orders.held_version = fields->take_unsigned();
    orders.held_document = fields->take_bytes();
    std::uint64_t const zones = fields->take_unsigned();
    while (orders.closed.size() < zones)
    {
        std::string const name = fields->take_text(longest_name);
        if (name.empty() || !orders.closed.insert(zone_id(name)).second)
        {
            break;
        }
    }
    if (!fields->complete() || orders.closed.size() != zones)
    {
        return make_error(error_kind::bad_value,
                          "The accepted orders are not readable.",
                          "Run the same version on all hosts.");
    }
    return orders;
}

} // namespace bilberrylead::catalog
