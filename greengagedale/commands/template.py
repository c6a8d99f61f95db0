"""`greengagedale template`: declares and shows templates."""

from greengagedale.commands import document_commands

app = document_commands.command_group(
    "template", "Delete a template; refused while a workspace uses it."
)
