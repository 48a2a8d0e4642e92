#ifndef BILBERRYLEAD_CATALOG_REPLICATED_STATE_HPP
#define BILBERRYLEAD_CATALOG_REPLICATED_STATE_HPP

#include "bilberrylead/catalog/accepted_orders.hpp"
#include "bilberrylead/catalog/catalog.hpp"
#include "bilberrylead/catalog/replicated_outcome.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/once/once_records.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <span>

namespace bilberrylead::catalog
{

/// All that the log builds up: configurations, operators' orders and
/// run-at-most-once records.
/// Two replicas that applied the same records are equal byte by byte. Used
/// by one thread.
class replicated_state
{
public:
    /// Makes the state before the first record.
    explicit replicated_state(catalog_settings const& catalog_bounds = {},
                              once::once_settings const& once_bounds = {});

    /// Applies the record at `index`, which must be larger than that of all
    /// records before. Bytes that are no command change nothing and give an
    /// error, the same on every replica.
    replicated_outcome apply(std::uint64_t index,
                             std::span<std::uint8_t const> record);

    /// Index of the last record that was applied, 0 if none was.
    std::uint64_t applied_index() const;
    /// The accepted configurations.
    catalog const& configurations() const;
    /// The operators' orders that are in force.
    accepted_orders const& orders() const;
    /// The run-at-most-once records.
    once::once_records const& claims() const;

    /// The whole state as bytes; equal states give equal bytes.
    bytes encode_snapshot() const;
    /// Becomes the state that encode_snapshot() gave. On an error nothing
    /// changes.
    absl::Status restore(std::span<std::uint8_t const> snapshot);

private:
    catalog_settings catalog_bounds;
    once::once_settings once_bounds;
    std::uint64_t applied = 0;
    catalog accepted;
    accepted_orders ordered;
    once::once_records records;
};

} // namespace bilberrylead::catalog

#endif
