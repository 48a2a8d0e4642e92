#ifndef BILBERRYLEAD_CONFIG_OPERATOR_TRUST_HPP
#define BILBERRYLEAD_CONFIG_OPERATOR_TRUST_HPP

namespace bilberrylead::config
{

/// Whom the operators' port trusts.
enum class operator_trust
{
    /// Whoever sends an operator's key.
    by_key,
    /// Whoever reaches the port: only where the network lets nobody else.
    by_network,
};

} // namespace bilberrylead::config

#endif
