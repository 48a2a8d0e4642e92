#ifndef BILBERRYLEAD_ENTRY_CUSTOMER_INDEX_HPP
#define BILBERRYLEAD_ENTRY_CUSTOMER_INDEX_HPP

#include "bilberrylead/config/configuration.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace bilberrylead::entry
{

/// Customers of a configuration by their keys. Made once for each
/// configuration, since there may be tens of thousands of keys. Immutable.
class customer_index
{
public:
    /// Indexes a configuration, which is not null.
    explicit customer_index(
        std::shared_ptr<config::configuration const> content);

    /// Customer that a key identifies; null if there is none.
    config::customer const* find(std::string_view key) const;

    /// True if a request on this route with this key has to be refused because
    /// it identifies no customer.
    bool lacks_customer(config::request_route const& route,
                        std::string_view key) const;

private:
    std::shared_ptr<config::configuration const> content;
    // The keys are owned by the configuration.
    std::unordered_map<std::string_view, config::customer const*> by_key;
};

} // namespace bilberrylead::entry

#endif
