"""Follow jobs, their steps and their units from acceptance to the end."""
