"""`greengagedale template`: declares and shows templates."""

from greengagedale.commands import declarations

app = declarations.command_group(
    "template", "Delete a template; refused while a workspace uses it."
)
