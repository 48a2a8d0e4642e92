#ifndef BILBERRYLEAD_CATALOG_ORDER_OUTCOME_HPP
#define BILBERRYLEAD_CATALOG_ORDER_OUTCOME_HPP

namespace bilberrylead::catalog
{

/// What became of an order. All of them are good news for its sender: an
/// order that changes nothing is one that was sent again, or that another
/// one has overtaken.
enum class order_outcome
{
    /// It changed what is in force.
    taken,
    /// It changes nothing: a version that is not higher, or a zone that is
    /// in that state already.
    nothing_to_do,
};

} // namespace bilberrylead::catalog

#endif
