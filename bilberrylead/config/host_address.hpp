#ifndef BILBERRYLEAD_CONFIG_HOST_ADDRESS_HPP
#define BILBERRYLEAD_CONFIG_HOST_ADDRESS_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/ids.hpp"

namespace bilberrylead::config
{

/// Another host of the system and where its peer link listens.
struct host_address
{
    /// Its name, as in its own settings.
    host_id id;
    /// Its peer endpoint.
    endpoint address;

    friend bool operator==(host_address const&, host_address const&) = default;
};

} // namespace bilberrylead::config

#endif
