"""Choice of endpoint and retry budgets."""
