#ifndef BILBERRYLEAD_PERFORMANCE_AGREEMENT_SLOPES_LINEAR_FIT_HPP
#define BILBERRYLEAD_PERFORMANCE_AGREEMENT_SLOPES_LINEAR_FIT_HPP

#include <vector>

namespace bilberrylead::agreement_slopes
{

/// One measured size.
struct sample
{
    /// The size.
    double size = 0;
    /// What it cost.
    double cost = 0;
};

/// The straight line through samples, by least squares.
struct linear_fit
{
    /// Fits at least two samples of different sizes.
    explicit linear_fit(std::vector<sample> const& samples);

    /// Cost at size 0.
    double intercept = 0;
    /// Cost of one more.
    double slope = 0;
    /// Largest distance of a sample from the line, as a share of its cost.
    double residual = 0;
};

} // namespace bilberrylead::agreement_slopes

#endif
