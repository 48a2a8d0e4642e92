#include "bilberrylead/entry/customer_index.hpp"

#include <cassert>
#include <string>
#include <utility>

namespace bilberrylead::entry
{

customer_index::customer_index(
    std::shared_ptr<config::configuration const> indexed)
    : content(std::move(indexed))
{
    assert(this->content != nullptr);
    for (config::customer const& customer : this->content->customers)
    {
        for (std::string const& key : customer.keys)
        {
            this->by_key.emplace(key, &customer);
        }
    }
}

config::customer const* customer_index::find(std::string_view key) const
{
    auto const found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

bool customer_index::lacks_customer(config::request_route const& route,
                                    std::string_view key) const
{
    return !this->content->customers.empty() && !route.is_public &&
           this->find(key) == nullptr;
}

} // namespace bilberrylead::entry
