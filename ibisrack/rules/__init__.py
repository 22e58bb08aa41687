"""The rules file: grammar, rule classes, the checked rule set."""
